//! The control file, mapped into memory, so that changes take effect at once.

use std::ffi::CString;
use std::ptr;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

use basaltwood_fault_control::{Call, ALWAYS, CONTROL_VARIABLE, FIELD_COUNT, SEED_FIELD, WALL_CLOCK_FIELD};

/// The fault of a call.
#[derive(Clone, Copy)]
pub enum Fault {
    /// The call fails with this error number.
    Error(i32),
    /// The call moves at most this number of bytes.
    Short(usize),
}

/// The fields in the mapped file, which the test may change at any time.
struct Fields(&'static [AtomicI64; FIELD_COUNT]);

/// The file, mapped at the first use; `None` if the environment names no usable file.
fn fields() -> Option<&'static Fields> {
    static MAPPED: OnceLock<Option<Fields>> = OnceLock::new();
    MAPPED.get_or_init(map_file).as_ref()
}

fn map_file() -> Option<Fields> {
    let path = CString::new(std::env::var(CONTROL_VARIABLE).ok()?).ok()?;
    // SAFETY: a system call with a valid C string. It bypasses `open`, which this library replaces.
    let file = unsafe {
        libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC)
    };
    if file < 0 {
        return None;
    }
    let length = 8 * FIELD_COUNT;
    // SAFETY: a new shared mapping of a file of this length, which is never unmapped.
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
    Some(Fields(unsafe { &*mapped.cast::<[AtomicI64; FIELD_COUNT]>() }))
}

fn field(number: usize) -> i64 {
    fields().map_or(0, |fields| fields.0[number].load(Ordering::Relaxed))
}

/// The offset of the wall clock, in milliseconds.
pub fn wall_clock_step_ms() -> i64 {
    field(WALL_CLOCK_FIELD)
}

/// The fault of this call now, if any.
pub fn fault_of(call: Call) -> Option<Fault> {
    let value = field(call.field());
    if value < 0 {
        return Some(Fault::Short(value.unsigned_abs() as usize));
    }
    let rate = field(call.field() + 1) as u64;
    (value > 0 && draw() < rate).then_some(Fault::Error(value as i32))
}

/// Draws the next number below [`ALWAYS`] of a pseudo-random sequence with the control file's seed.
fn draw() -> u64 {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let number = CALLS.fetch_add(1, Ordering::Relaxed) ^ (field(SEED_FIELD) as u64).rotate_left(32);
    // SplitMix64, whose output is evenly distributed for consecutive numbers.
    let mut mixed = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed ^ (mixed >> 31)) % u64::from(ALWAYS)
}
