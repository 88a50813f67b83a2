//! Golden files: expected text that stands in a file of its own.

use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// Set, the files are written instead of compared. For a form that is new, never for one that has changed.
const WRITE: &str = "RUSHQUAY_WRITE_GOLDEN";

/// Where a golden file stands.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/golden").join(name)
}

/// The text of a golden file.
pub fn read(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|e| panic!("golden/{name}: {e}"))
}

/// Fails where a text is not that of its golden file.
pub fn assert_same(name: &str, actual: &str) {
    if std::env::var_os(WRITE).is_some() {
        let path = path(name);
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("created");
        std::fs::write(path, actual).expect("written");
        return;
    }
    let expected = read(name);
    let mut lines = expected.lines().zip(actual.lines()).enumerate();
    if let Some((number, (expected, actual))) = lines.find(|(_, (expected, actual))| expected != actual) {
        panic!("golden/{name}:{}\n  expected {expected}\n  actual   {actual}", number + 1);
    }
    let (expected, actual) = (expected.lines().count(), actual.lines().count());
    assert_eq!(expected, actual, "lines of golden/{name}");
}

/// The program, with nothing in its environment.
pub fn rushquay(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rushquay"));
    command.env_clear().args(arguments).stdin(Stdio::null());
    command
}

/// Runs a command that ends by itself.
pub fn run(arguments: &[&str]) -> Output {
    rushquay(arguments).output().expect("the program starts")
}

/// A folder of a test's own, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("rushquay-compat-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
