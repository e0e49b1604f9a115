//! The control file, mapped into the process: what it says counts from the moment it is written.

use std::ffi::CString;
use std::ptr;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

use basaltwood_fault_control::{Call, ALWAYS, CONTROL_VARIABLE, FIELDS, SEED_FIELD, WALL_CLOCK_FIELD};

/// What a call does instead of what it should.
#[derive(Clone, Copy)]
pub enum Fault {
    /// It fails with this error number.
    Error(i32),
    /// It moves so many bytes at most.
    Short(usize),
}

/// The fields, as the file shows them at any moment.
struct Fields(&'static [AtomicI64; FIELDS]);

/// The file as it was mapped at the first use; none where the variable names no usable one.
fn fields() -> Option<&'static Fields> {
    static MAPPED: OnceLock<Option<Fields>> = OnceLock::new();
    MAPPED.get_or_init(map_file).as_ref()
}

fn map_file() -> Option<Fields> {
    let path = CString::new(std::env::var(CONTROL_VARIABLE).ok()?).ok()?;
    // SAFETY: a plain system call with a C string: not `open`, which this library replaces.
    let file = unsafe {
        libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC)
    };
    if file < 0 {
        return None;
    }
    let length = 8 * FIELDS;
    // SAFETY: a new shared mapping of a file that is as long; it is never unmapped.
    let mapped = unsafe {
        let mapped =
            libc::mmap(ptr::null_mut(), length, libc::PROT_READ, libc::MAP_SHARED, file as libc::c_int, 0);
        libc::close(file as libc::c_int);
        mapped
    };
    if mapped == libc::MAP_FAILED {
        return None;
    }
    // SAFETY: the mapping is page-aligned, lives as long as the process, and is only loaded from.
    Some(Fields(unsafe { &*mapped.cast::<[AtomicI64; FIELDS]>() }))
}

fn field(number: usize) -> i64 {
    fields().map_or(0, |fields| fields.0[number].load(Ordering::Relaxed))
}

/// How far the wall clock is stepped, in milliseconds.
pub fn wall_clock_step_ms() -> i64 {
    field(WALL_CLOCK_FIELD)
}

/// What this call does now instead of what it should, if anything.
pub fn fault_of(call: Call) -> Option<Fault> {
    let what = field(call.field());
    if what < 0 {
        return Some(Fault::Short(what.unsigned_abs() as usize));
    }
    let rate = field(call.field() + 1) as u64;
    (what > 0 && draw() < rate).then_some(Fault::Error(what as i32))
}

/// The next number below [`ALWAYS`] of a sequence that the control file's seed determines.
fn draw() -> u64 {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let number = CALLS.fetch_add(1, Ordering::Relaxed) ^ (field(SEED_FIELD) as u64).rotate_left(32);
    // SplitMix64, whose output is evenly distributed for consecutive numbers.
    let mut mixed = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed ^ (mixed >> 31)) % u64::from(ALWAYS)
}
