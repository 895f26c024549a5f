use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// An operation on the files of a data folder.
#[derive(Clone, Copy, Debug)]
pub enum FileOp<'a> {
    /// List the names of all files.
    List,
    /// Read a whole file.
    Read(&'a str),
    /// Write at an offset. The file is created if it does not exist.
    Write {
        /// Name of the file.
        name: &'a str,
        /// Offset of the first byte to write.
        offset: u64,
        /// The bytes to write.
        data: &'a [u8],
    },
    /// Set the length of a file.
    Truncate {
        /// Name of the file.
        name: &'a str,
        /// The new length in bytes.
        length: u64,
    },
    /// Make the content of a file durable.
    Sync(&'a str),
    /// Rename a file. An existing file of the new name is replaced.
    Rename {
        /// The current name.
        from: &'a str,
        /// The new name.
        to: &'a str,
    },
    /// Remove a file.
    Remove(&'a str),
    /// Make the creation, renaming and removal of files durable.
    SyncFolder,
}

/// Result of a successful file operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FileOutput {
    /// The operation returns no data.
    Done,
    /// The names of all files.
    Names(Vec<String>),
    /// The content of a file.
    Content(Vec<u8>),
}

/// Performs a file operation.
pub type FileHook = Box<dyn FnMut(FileOp<'_>) -> io::Result<FileOutput> + Send>;

/// The data folder of a replica: a folder in the file system, or a test double that loses unsynced
/// data.
pub struct Folder {
    perform: FileHook,
}

impl fmt::Debug for Folder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Folder").finish_non_exhaustive()
    }
}

impl Folder {
    /// Creates a folder that performs all operations with the given function.
    #[must_use]
    pub fn new(perform: FileHook) -> Self {
        Self { perform }
    }

    /// Opens a folder in the file system and locks it against other processes. The folder is
    /// created if it does not exist.
    ///
    /// # Errors
    /// The error of the operating system, or [`io::ErrorKind::ResourceBusy`] if another process has
    /// locked the folder.
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

    /// Returns the content of a file, or `None` if the file does not exist.
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

    /// Removes a file. It is no error if the file does not exist.
    pub(super) fn remove(&mut self, name: &str) -> io::Result<()> {
        match self.execute(FileOp::Remove(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }

    pub(super) fn sync_folder(&mut self) -> io::Result<()> {
        self.execute(FileOp::SyncFolder)
    }

    /// Replaces the content of a file atomically: after a crash the file has either the old or the
    /// new content.
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

/// File whose lock prevents other processes from using the folder.
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
