use super::SystemBuffers;
use std::fs;

#[test]
fn larger_buffers_of_the_system_are_found() {
    let folder = std::env::temp_dir().join(format!("reelfall-limits-{}", std::process::id()));
    assert_eq!(SystemBuffers::read(&folder), SystemBuffers::default());
    for (file, text) in [
        ("ipv4/tcp_wmem", "4096\t16384\t4194304\n"),
        ("ipv4/tcp_rmem", "4096\t131072\t33554432\n"),
        ("core/wmem_max", "8388608\n"),
        ("core/rmem_max", "212992\n"),
    ] {
        let path = folder.join(file);
        fs::create_dir_all(path.parent().expect("a folder")).expect("a writable folder");
        fs::write(path, text).expect("a writable folder");
    }
    let found = SystemBuffers::read(&folder);
    fs::remove_dir_all(&folder).expect("the folder exists");
    let expected = SystemBuffers {
        client_send_bytes: 16 << 20,
        receive_bytes: 32 << 20,
    };
    assert_eq!(found, expected);
}
