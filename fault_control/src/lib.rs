//! Faults that a test injects into a process which has the preload library `basaltwood-fault-shim`
//! loaded: failing system calls, short reads and writes, and a stepped wall clock.
//!
//! A test creates a [`FaultControl`], starts the program with [`FaultControl::environment`], and
//! changes the faults while it runs. Both sides share a small file; nothing else is touched.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The variable that names the control file to the preload library.
pub const CONTROL_VARIABLE: &str = "BASALTWOOD_FAULT_CONTROL";
/// The preload library's file, as cargo builds it.
pub const LIBRARY_FILE: &str = "libbasaltwood_fault_shim.so";
/// Fields of the control file, eight bytes each.
pub const FIELDS: usize = 64;
/// The field with the step of the wall clock, in milliseconds.
pub const WALL_CLOCK_FIELD: usize = 0;
/// The field with the seed by which a fault's rate is drawn.
pub const SEED_FIELD: usize = 1;
/// The first of the fields of system calls, two for each.
const FIRST_CALL_FIELD: usize = 2;
/// The rate of a fault that hits each call, per thousand.
pub const ALWAYS: u32 = 1_000;

/// A kind of system call that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `recv` and `readv`.
    Receive,
    /// `send` and `writev`.
    Send,
    /// `open` and its relatives.
    Open,
    /// `write` to a regular file.
    WriteFile,
    /// `fsync` and `fdatasync`.
    Sync,
}

impl Call {
    /// Each kind.
    pub const EACH: [Call; 8] = [
        Call::Accept,
        Call::Socket,
        Call::Connect,
        Call::Receive,
        Call::Send,
        Call::Open,
        Call::WriteFile,
        Call::Sync,
    ];

    /// The control file's field with this call's error; the rate stands in the next one.
    pub const fn field(self) -> usize {
        FIRST_CALL_FIELD + 2 * self as usize
    }
}

/// The faults of one process, from the side of the test.
pub struct FaultControl {
    file: File,
    path: PathBuf,
    library: PathBuf,
}

impl FaultControl {
    /// A control file at this path, without any fault; `library` is the preload library.
    ///
    /// # Errors
    /// The system's error if the file can't be created.
    pub fn create(path: &Path, library: &Path) -> io::Result<FaultControl> {
        let file = OpenOptions::new().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(8 * FIELDS as u64)?;
        Ok(FaultControl { file, path: path.to_owned(), library: library.to_owned() })
    }

    /// The control file at this path as it is, or a new one without any fault.
    ///
    /// # Errors
    /// The system's error if the file can't be had.
    pub fn open(path: &Path, library: &Path) -> io::Result<FaultControl> {
        let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)?;
        file.set_len(8 * FIELDS as u64)?;
        Ok(FaultControl { file, path: path.to_owned(), library: library.to_owned() })
    }

    /// The variables of the environment under which the program has to be started.
    pub fn environment(&self) -> [(&'static str, &Path); 2] {
        [("LD_PRELOAD", &self.library), (CONTROL_VARIABLE, &self.path)]
    }

    /// Steps the wall clock by so many milliseconds against the machine's, from now on.
    ///
    /// # Errors
    /// The system's error if the control file can't be written.
    pub fn step_wall_clock(&self, milliseconds: i64) -> io::Result<()> {
        self.set(WALL_CLOCK_FIELD, milliseconds)
    }

    /// Has so many of a thousand calls fail with this error number, from now on.
    ///
    /// # Errors
    /// The system's error if the control file can't be written.
    pub fn fail(&self, call: Call, errno: i32, per_thousand: u32) -> io::Result<()> {
        self.set(call.field() + 1, i64::from(per_thousand))?;
        self.set(call.field(), i64::from(errno))
    }

    /// Has each read or write move so many bytes at most, from now on.
    ///
    /// # Errors
    /// The system's error if the control file can't be written.
    pub fn shorten(&self, call: Call, bytes: u32) -> io::Result<()> {
        self.set(call.field() + 1, i64::from(ALWAYS))?;
        self.set(call.field(), -i64::from(bytes))
    }

    /// Ends the fault of this call.
    ///
    /// # Errors
    /// The system's error if the control file can't be written.
    pub fn restore(&self, call: Call) -> io::Result<()> {
        self.set(call.field(), 0)
    }

    /// Has a call fail for a while; returns after that.
    ///
    /// # Errors
    /// The system's error if the control file can't be written.
    pub fn fail_for(&self, call: Call, errno: i32, span: Duration) -> io::Result<()> {
        self.fail(call, errno, ALWAYS)?;
        std::thread::sleep(span);
        self.restore(call)
    }

    fn set(&self, field: usize, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_le_bytes(), 8 * field as u64)
    }
}

/// The preload library beside the running test program, as `cargo test` builds it.
///
/// # Errors
/// If the program's own path is unknown, or the library is not there.
pub fn library_beside_test() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folders = program.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(LIBRARY_FILE)).find(|path| path.exists());
    found.ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, "build it: cargo build -p basaltwood-fault-shim")
    })
}
