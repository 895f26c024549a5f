use std::fmt::Write as _;

use sha2::{Digest as _, Sha256};

use super::{Digest, NoteDefinitions, ReleaseNote, WithdrawnNames};

impl ReleaseNote {
    /// The digest of the note's canonical form, in which every list is sorted by name.
    ///
    /// Comments, whitespace, fields explicitly set to their defaults and the order of list items do
    /// not change it.
    ///
    /// # Panics
    /// Does not panic in practice: the fields of a note can always be encoded.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut canonical = self.clone();
        sort_definitions(&mut canonical.added);
        sort_definitions(&mut canonical.changed);
        sort_names(&mut canonical.withdrawn);
        let bytes = postcard::to_allocvec(&canonical).expect("encoding a note cannot fail");
        let mut text = String::with_capacity(64);
        for byte in Sha256::digest(bytes) {
            write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        }
        Digest(text.into())
    }
}

fn sort_definitions(definitions: &mut NoteDefinitions) {
    definitions.teams.sort_by(|a, b| a.name.cmp(&b.name));
    definitions.guarantees.sort_by(|a, b| a.team.cmp(&b.team));
    definitions.zones.sort_by(|a, b| a.name.cmp(&b.name));
    definitions.services.sort_by(|a, b| a.name.cmp(&b.name));
    definitions.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
}

fn sort_names(names: &mut WithdrawnNames) {
    names.teams.sort();
    names.guarantees.sort();
    names.zones.sort();
    names.services.sort();
    names.endpoints.sort();
}
