//! A preload library for tests: makes system calls of the program fail or move fewer bytes, and
//! steps its wall clock, as set in the control file that `BASALTWOOD_FAULT_CONTROL` names. Without
//! that variable it changes nothing.
//!
//! `basaltwood_fault_control` defines the format of the file and writes it for a test.

mod control;
mod next;

use std::ffi::c_void;

use basaltwood_fault_control::Call;
use libc::{c_char, c_int, clockid_t, iovec, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use control::{fault_of, wall_clock_step_ms, Fault};

const NANOS_PER_SECOND: i64 = 1_000_000_000;
const NANOS_PER_MILLI: i64 = 1_000_000;
/// The highest descriptor of a standard stream. Writes to these never fail, since the log uses
/// them.
const LAST_STANDARD_STREAM: c_int = 2;

/// Sets `errno` and returns true if the control file makes this call fail.
fn inject_error(call: Call) -> bool {
    match fault_of(call) {
        Some(Fault::Error(errno)) => {
            // SAFETY: `__errno_location` returns this thread's valid errno.
            unsafe { *libc::__errno_location() = errno };
            true
        }
        _ => false,
    }
}

/// The number of bytes that a call may move: `count`, or the limit in the control file.
fn limited_count(call: Call, count: size_t) -> size_t {
    match fault_of(call) {
        Some(Fault::Short(bytes)) => count.min(bytes),
        _ => count,
    }
}

/// `clock_gettime` with the wall clock stepped.
///
/// # Safety
/// The same as for the C library's function.
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

/// `accept4`. An injected error leaves the connection in the accept queue, also `ECONNABORTED`,
/// with which the system would have removed it.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if inject_error(Call::Accept) {
        return -1;
    }
    next::accept4(socket, address, length, flags)
}

/// `socket`.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if inject_error(Call::Socket) {
        return -1;
    }
    next::socket(domain, kind, protocol)
}

/// `connect`.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if inject_error(Call::Connect) {
        return -1;
    }
    next::connect(socket, address, length)
}

/// `recv`.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, count: size_t, flags: c_int) -> ssize_t {
    if inject_error(Call::Receive) {
        return -1;
    }
    next::recv(socket, bytes, limited_count(Call::Receive, count), flags)
}

/// `send`.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, count: size_t, flags: c_int) -> ssize_t {
    if inject_error(Call::Send) {
        return -1;
    }
    next::send(socket, bytes, limited_count(Call::Send, count), flags)
}

/// `writev`. It may fail, but is never shortened.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, segments: *const iovec, count: c_int) -> ssize_t {
    if file > LAST_STANDARD_STREAM && inject_error(Call::Send) {
        return -1;
    }
    next::writev(file, segments, count)
}

/// `write`. Faults are injected for regular files only.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, count: size_t) -> ssize_t {
    if fault_of(Call::WriteFile).is_some() && is_regular_file(file) {
        if inject_error(Call::WriteFile) {
            return -1;
        }
        return next::write(file, bytes, limited_count(Call::WriteFile, count));
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
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if inject_error(Call::Sync) {
        return -1;
    }
    next::fsync(file)
}

/// `fdatasync`.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if inject_error(Call::Sync) {
        return -1;
    }
    next::fdatasync(file)
}

/// `open64`. The mode is read even if the caller passed none; the system ignores it where the flags
/// do not require one.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if inject_error(Call::Open) {
        return -1;
    }
    next::open64(path, flags, mode)
}

/// `open`.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    open64(path, flags, mode)
}
