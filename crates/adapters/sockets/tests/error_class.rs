//! Every error that the manual pages of socket, connect, accept, recv and send list has the expected class.

use rushquay_sockets::{classify, ErrorClass};
use rustix::io::Errno;
use std::io;

fn class(errno: Errno) -> ErrorClass {
    classify(&io::Error::from_raw_os_error(errno.raw_os_error()))
}

#[test]
fn each_documented_error_has_its_class() {
    let cases: [(ErrorClass, &[Errno]); 5] = [
        (ErrorClass::Repeat, &[Errno::INTR]),
        (
            ErrorClass::PeerGone,
            &[
                Errno::CONNABORTED,
                Errno::CONNRESET,
                Errno::CONNREFUSED,
                Errno::PIPE,
                Errno::TIMEDOUT,
                Errno::PROTO,
            ],
        ),
        (
            ErrorClass::Shortage,
            &[Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN],
        ),
        (ErrorClass::NoRoute, &[Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::NETDOWN, Errno::HOSTDOWN]),
        (ErrorClass::Other, &[Errno::BADF, Errno::INVAL, Errno::NOTSOCK, Errno::ACCESS, Errno::AFNOSUPPORT]),
    ];
    for (expected, errors) in cases {
        for errno in errors {
            assert_eq!(class(*errno), expected, "{errno:?}");
        }
    }
    assert_eq!(classify(&io::Error::other("no errno")), ErrorClass::Other);
}
