use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// One step on the files of a data folder.
#[derive(Clone, Copy, Debug)]
pub enum FileOp<'a> {
    /// Lists the names of all files.
    List,
    /// Reads a whole file.
    Read(&'a str),
    /// Writes at an offset, making the file where there is none.
    Write {
        /// The file.
        name: &'a str,
        /// Where the bytes go.
        offset: u64,
        /// The bytes.
        data: &'a [u8],
    },
    /// Cuts a file.
    Truncate {
        /// The file.
        name: &'a str,
        /// Its new length in bytes.
        length: u64,
    },
    /// Makes the content of a file durable.
    Sync(&'a str),
    /// Renames a file, replacing the one that had the name.
    Rename {
        /// The present name.
        from: &'a str,
        /// The new name.
        to: &'a str,
    },
    /// Removes a file.
    Remove(&'a str),
    /// Makes names, renames and removals durable.
    SyncFolder,
}

/// What a step gives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FileOutput {
    /// Nothing.
    Done,
    /// The names of all files.
    Names(Vec<String>),
    /// The content of a file.
    Content(Vec<u8>),
}

/// Carries out one step.
pub type FileHook = Box<dyn FnMut(FileOp<'_>) -> io::Result<FileOutput> + Send>;

/// The files of a replica: real ones, or a stand-in that loses what was not synced.
pub struct Folder {
    perform: FileHook,
}

impl fmt::Debug for Folder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Folder").finish_non_exhaustive()
    }
}

impl Folder {
    /// Uses a closure for all steps.
    #[must_use]
    pub fn new(perform: FileHook) -> Self {
        Self { perform }
    }

    /// Opens a real folder, making it where there is none, and locks it against other processes.
    ///
    /// # Errors
    /// The error of the operating system, or [`io::ErrorKind::ResourceBusy`] where another process
    /// holds the folder.
    pub fn open(path: &Path) -> io::Result<Self> {
        let mut fs_folder = FsFolder::open(path)?;
        Ok(Self::new(Box::new(move |op| fs_folder.perform(op))))
    }

    fn execute(&mut self, op: FileOp<'_>) -> io::Result<()> {
        (self.perform)(op).map(|_answer| ())
    }

    pub(super) fn list(&mut self) -> io::Result<Vec<String>> {
        match (self.perform)(FileOp::List)? {
            FileOutput::Names(mut names) => {
                names.sort();
                Ok(names)
            }
            FileOutput::Done | FileOutput::Content(_) => Ok(Vec::new()),
        }
    }

    /// The content of a file, none where there is no such file.
    pub(super) fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match (self.perform)(FileOp::Read(name)) {
            Ok(FileOutput::Content(content)) => Ok(Some(content)),
            Ok(FileOutput::Done | FileOutput::Names(_)) => Ok(None),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    pub(super) fn write(&mut self, name: &str, offset: u64, data: &[u8]) -> io::Result<()> {
        self.execute(FileOp::Write { name, offset, data })
    }

    pub(super) fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.execute(FileOp::Truncate { name, length })
    }

    pub(super) fn sync(&mut self, name: &str) -> io::Result<()> {
        self.execute(FileOp::Sync(name))
    }

    pub(super) fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.execute(FileOp::Rename { from, to })
    }

    /// Removes a file; one that is not there counts as removed.
    pub(super) fn remove(&mut self, name: &str) -> io::Result<()> {
        match self.execute(FileOp::Remove(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }

    pub(super) fn sync_folder(&mut self) -> io::Result<()> {
        self.execute(FileOp::SyncFolder)
    }

    /// Replaces a file as a whole: after a crash it has either content.
    pub(super) fn replace(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        let temporary = format!("{name}.tmp");
        self.remove(&temporary)?;
        let written = self
            .write(&temporary, 0, content)
            .and_then(|()| self.sync(&temporary));
        if let Err(error) = written {
            self.remove(&temporary)?;
            return Err(error);
        }
        self.rename(&temporary, name)?;
        self.sync_folder()
    }
}

/// The name of the file whose lock keeps other processes out.
const LOCK_FILE: &str = "lock";

#[derive(Debug)]
struct FsFolder {
    path: PathBuf,
    folder: File,
    open_files: BTreeMap<String, File>,
    _lock: File,
}

impl FsFolder {
    fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = File::create(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(io::ErrorKind::ResourceBusy.into()),
            Err(TryLockError::Error(error)) => return Err(error),
        }
        Ok(Self {
            path: path.to_owned(),
            folder: File::open(path)?,
            open_files: BTreeMap::new(),
            _lock: lock,
        })
    }

    fn perform(&mut self, op: FileOp<'_>) -> io::Result<FileOutput> {
        match op {
            FileOp::List => return self.list().map(FileOutput::Names),
            FileOp::Read(name) => return fs::read(self.path.join(name)).map(FileOutput::Content),
            FileOp::Write { name, offset, data } => {
                self.open_file(name)?.write_all_at(data, offset)?;
            }
            FileOp::Truncate { name, length } => self.open_file(name)?.set_len(length)?,
            FileOp::Sync(name) => self.open_file(name)?.sync_data()?,
            FileOp::Rename { from, to } => {
                self.open_files.remove(from);
                self.open_files.remove(to);
                fs::rename(self.path.join(from), self.path.join(to))?;
            }
            FileOp::Remove(name) => {
                self.open_files.remove(name);
                fs::remove_file(self.path.join(name))?;
            }
            FileOp::SyncFolder => self.folder.sync_all()?,
        }
        Ok(FileOutput::Done)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            let item = item?;
            if item.file_type()?.is_file() && item.file_name() != LOCK_FILE {
                names.push(item.file_name().to_string_lossy().into_owned());
            }
        }
        Ok(names)
    }

    fn open_file(&mut self, name: &str) -> io::Result<&File> {
        if !self.open_files.contains_key(name) {
            let path = self.path.join(name);
            let file = OpenOptions::new()
                .create(true)
                .truncate(false)
                .write(true)
                .open(path)?;
            self.open_files.insert(name.to_owned(), file);
        }
        Ok(&self.open_files[name])
    }
}
