//! A preload library for tests: system calls of the program fail, or move fewer bytes, as the
//! control file says that `BASALTWOOD_FAULT_CONTROL` names; the wall clock is stepped by it. Without
//! that variable it changes nothing.
//!
//! `basaltwood_fault_control` describes the file and is how a test writes it.

mod control;
mod next;

use std::ffi::c_void;

use basaltwood_fault_control::Call;
use libc::{c_char, c_int, clockid_t, iovec, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use control::{fault_of, wall_clock_step_ms, Fault};

/// Nanoseconds in a second, and in a millisecond.
const NANOS_PER_SECOND: i64 = 1_000_000_000;
const NANOS_PER_MILLI: i64 = 1_000_000;
/// The standard streams: the log must not fail.
const LAST_STANDARD_STREAM: c_int = 2;

/// Fails a call where the control file asks for it.
fn fails(call: Call) -> bool {
    match fault_of(call) {
        Some(Fault::Error(errno)) => {
            // SAFETY: `__errno_location` returns this thread's valid errno.
            unsafe { *libc::__errno_location() = errno };
            true
        }
        _ => false,
    }
}

/// How many bytes a call may move.
fn shortened(call: Call, count: size_t) -> size_t {
    match fault_of(call) {
        Some(Fault::Short(bytes)) => count.min(bytes),
        _ => count,
    }
}

/// `clock_gettime` with the wall clock stepped.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = next::clock_gettime(clock, time);
    let step = wall_clock_step_ms();
    if result == 0 && clock == libc::CLOCK_REALTIME && step != 0 {
        let nanos = (*time).tv_sec * NANOS_PER_SECOND + (*time).tv_nsec + step * NANOS_PER_MILLI;
        (*time).tv_sec = nanos.div_euclid(NANOS_PER_SECOND);
        (*time).tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
    }
    result
}

/// `accept4`. A failed one leaves the connection where it waits, but for `ECONNABORTED`, which takes
/// it away as the system does.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if fails(Call::Accept) {
        return -1;
    }
    next::accept4(socket, address, length, flags)
}

/// `socket`.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if fails(Call::Socket) {
        return -1;
    }
    next::socket(domain, kind, protocol)
}

/// `connect`.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if fails(Call::Connect) {
        return -1;
    }
    next::connect(socket, address, length)
}

/// `recv`.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, count: size_t, flags: c_int) -> ssize_t {
    if fails(Call::Receive) {
        return -1;
    }
    next::recv(socket, bytes, shortened(Call::Receive, count), flags)
}

/// `send`.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, count: size_t, flags: c_int) -> ssize_t {
    if fails(Call::Send) {
        return -1;
    }
    next::send(socket, bytes, shortened(Call::Send, count), flags)
}

/// `writev`; a shortened one writes the first segment alone.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, segments: *const iovec, count: c_int) -> ssize_t {
    if file > LAST_STANDARD_STREAM && fails(Call::Send) {
        return -1;
    }
    next::writev(file, segments, count)
}

/// `write`; it fails on regular files alone.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, count: size_t) -> ssize_t {
    if fault_of(Call::WriteFile).is_some() && is_regular_file(file) {
        if fails(Call::WriteFile) {
            return -1;
        }
        return next::write(file, bytes, shortened(Call::WriteFile, count));
    }
    next::write(file, bytes, count)
}

unsafe fn is_regular_file(file: c_int) -> bool {
    let mut status: libc::stat = std::mem::zeroed();
    file > LAST_STANDARD_STREAM
        && libc::fstat(file, &mut status) == 0
        && status.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// `fsync`.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if fails(Call::Sync) {
        return -1;
    }
    next::fsync(file)
}

/// `fdatasync`.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if fails(Call::Sync) {
        return -1;
    }
    next::fdatasync(file)
}

/// `open64`; the mode is read whether or not it was passed, and ignored by the system where it does
/// not count.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if fails(Call::Open) {
        return -1;
    }
    next::open64(path, flags, mode)
}

/// `open`.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    open64(path, flags, mode)
}
