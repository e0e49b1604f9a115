//! The functions of the C library that this library replaces.

use std::ffi::{c_void, CStr};
use std::sync::OnceLock;

use libc::{c_char, c_int, clockid_t, iovec, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

fn symbol(name: &CStr) -> usize {
    // SAFETY: the name is a C string, and `RTLD_NEXT` looks it up in the libraries loaded after
    // this one.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!found.is_null(), "the C library has no {name:?}");
    found as usize
}

/// Defines a function that calls the C library's function of the same name.
macro_rules! next {
    ($name:ident($($argument:ident: $type:ty),*) -> $result:ty) => {
        pub unsafe fn $name($($argument: $type),*) -> $result {
            static ADDRESS: OnceLock<usize> = OnceLock::new();
            let name = concat!(stringify!($name), "\0");
            let address = *ADDRESS.get_or_init(|| {
                symbol(CStr::from_bytes_with_nul(name.as_bytes()).expect("name ends with NUL"))
            });
            // SAFETY: the C library's function of this name has this signature.
            let function: unsafe extern "C" fn($($type),*) -> $result = std::mem::transmute(address);
            function($($argument),*)
        }
    };
}

next!(clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int);
next!(accept4(socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int);
next!(socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int);
next!(connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
next!(recv(socket: c_int, bytes: *mut c_void, count: size_t, flags: c_int) -> ssize_t);
next!(send(socket: c_int, bytes: *const c_void, count: size_t, flags: c_int) -> ssize_t);
next!(writev(file: c_int, segments: *const iovec, count: c_int) -> ssize_t);
next!(write(file: c_int, bytes: *const c_void, count: size_t) -> ssize_t);
next!(fsync(file: c_int) -> c_int);
next!(fdatasync(file: c_int) -> c_int);
next!(open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int);
