//! Injects faults into a process that runs with the preload library `basaltwood-fault-shim`:
//! failing system calls, short reads and writes, and a stepped wall clock.
//!
//! A test creates a [`FaultControl`], starts the program with [`FaultControl::environment`], and
//! changes the faults while the program runs. The test and the library share only a small file.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable with the path of the control file.
pub const CONTROL_VARIABLE: &str = "BASALTWOOD_FAULT_CONTROL";
/// The file name of the preload library, as built by cargo.
pub const LIBRARY_FILE: &str = "libbasaltwood_fault_shim.so";
/// The number of fields in the control file, each a 64-bit integer in little-endian order.
pub const FIELD_COUNT: usize = 64;
/// The index of the field with the step of the wall clock, in milliseconds.
pub const WALL_CLOCK_FIELD: usize = 0;
/// The index of the field with the seed of the random draws for fault rates.
pub const SEED_FIELD: usize = 1;
/// The index of the first field of a system call; each kind of call has two fields.
const FIRST_CALL_FIELD: usize = 2;
/// The rate, per thousand calls, at which every call is hit.
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
    /// `recv`.
    Receive,
    /// `send` and `writev`; only `send` can be shortened.
    Send,
    /// `open` and `open64`.
    Open,
    /// `write` to a regular file.
    WriteFile,
    /// `fsync` and `fdatasync`.
    Sync,
}

impl Call {
    /// All kinds.
    pub const ALL: [Call; 8] = [
        Call::Accept,
        Call::Socket,
        Call::Connect,
        Call::Receive,
        Call::Send,
        Call::Open,
        Call::WriteFile,
        Call::Sync,
    ];

    /// The index of the field with this call's fault: an error number, or the negated maximum
    /// number of bytes. The next field holds the rate.
    pub const fn field(self) -> usize {
        FIRST_CALL_FIELD + 2 * self as usize
    }
}

/// Controls the faults of one process.
pub struct FaultControl {
    file: File,
    path: PathBuf,
    library: PathBuf,
}

impl FaultControl {
    /// Creates a control file without faults; `library` is the path of the preload library.
    ///
    /// # Errors
    /// The system's error if the file can't be created.
    pub fn create(path: &Path, library: &Path) -> io::Result<FaultControl> {
        let file = OpenOptions::new().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(8 * FIELD_COUNT as u64)?;
        Ok(FaultControl { file, path: path.to_owned(), library: library.to_owned() })
    }

    /// Opens the control file and keeps its faults, or creates one without faults.
    ///
    /// # Errors
    /// The system's error if the file can't be opened or created.
    pub fn open(path: &Path, library: &Path) -> io::Result<FaultControl> {
        let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)?;
        file.set_len(8 * FIELD_COUNT as u64)?;
        Ok(FaultControl { file, path: path.to_owned(), library: library.to_owned() })
    }

    /// The environment variables with which the program has to be started.
    pub fn environment(&self) -> [(&'static str, &Path); 2] {
        [("LD_PRELOAD", &self.library), (CONTROL_VARIABLE, &self.path)]
    }

    /// Offsets the wall clock of the program from that of the machine, from now on.
    ///
    /// # Errors
    /// The system's error if the control file can't be written.
    pub fn step_wall_clock(&self, milliseconds: i64) -> io::Result<()> {
        self.set(WALL_CLOCK_FIELD, milliseconds)
    }

    /// Makes `per_thousand` of 1,000 calls fail with this error number, from now on.
    ///
    /// # Errors
    /// The system's error if the control file can't be written.
    pub fn fail(&self, call: Call, errno: i32, per_thousand: u32) -> io::Result<()> {
        self.set(call.field() + 1, i64::from(per_thousand))?;
        self.set(call.field(), i64::from(errno))
    }

    /// Limits each read or write to this number of bytes, from now on.
    ///
    /// # Errors
    /// The system's error if the control file can't be written.
    pub fn shorten(&self, call: Call, bytes: u32) -> io::Result<()> {
        self.set(call.field() + 1, i64::from(ALWAYS))?;
        self.set(call.field(), -i64::from(bytes))
    }

    /// Removes the fault of this call.
    ///
    /// # Errors
    /// The system's error if the control file can't be written.
    pub fn restore(&self, call: Call) -> io::Result<()> {
        self.set(call.field(), 0)
    }

    /// Makes every call of this kind fail for `duration`; blocks until then.
    ///
    /// # Errors
    /// The system's error if the control file can't be written.
    pub fn fail_for(&self, call: Call, errno: i32, duration: Duration) -> io::Result<()> {
        self.fail(call, errno, ALWAYS)?;
        std::thread::sleep(duration);
        self.restore(call)
    }

    fn set(&self, field: usize, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_le_bytes(), 8 * field as u64)
    }
}

/// The path of the preload library in the build folder of the running test program.
///
/// # Errors
/// The path of the program is unknown, or the library is not built.
pub fn library_beside_test() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folders = program.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(LIBRARY_FILE)).find(|path| path.exists());
    found.ok_or_else(|| {
        let text = format!("{LIBRARY_FILE} is not built: run cargo build -p basaltwood-fault-shim");
        io::Error::new(io::ErrorKind::NotFound, text)
    })
}
