//! System calls that fail: a small library (`tests/shim/faults.c`) that is preloaded into single processes of the program.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Which calls of a process fail, and how. The form of `rules` is described in `tests/shim/faults.c`.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    rules: String,
    while_exists: Option<PathBuf>,
    log: Option<PathBuf>,
}

impl Faults {
    /// Faults by these rules, drawn from this seed, for as long as the process runs.
    pub fn new(seed: u64, rules: &str) -> Self {
        Faults { rules: format!("seed={seed};{rules}"), while_exists: None, log: None }
    }

    /// Only while this file exists.
    pub fn while_exists(mut self, file: &Path) -> Self {
        self.while_exists = Some(file.to_owned());
        self
    }

    /// Each fault is written down in this file.
    pub fn log_to(mut self, file: &Path) -> Self {
        self.log = Some(file.to_owned());
        self
    }

    /// The environment of a process that is to suffer them.
    pub fn variables(&self) -> Vec<(String, String)> {
        let text = |path: &Path| path.to_str().expect("a path in UTF-8").to_owned();
        let mut variables = vec![
            ("LD_PRELOAD".to_owned(), text(library())),
            ("RUSHQUAY_FAULTS".to_owned(), self.rules.clone()),
        ];
        variables
            .extend(self.while_exists.as_deref().map(|file| ("RUSHQUAY_FAULTS_WHEN".to_owned(), text(file))));
        variables.extend(self.log.as_deref().map(|file| ("RUSHQUAY_FAULTS_LOG".to_owned(), text(file))));
        variables
    }
}

/// The library, compiled once by each test process with the C compiler that Rust links with.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../tests/shim/faults.c");
        let test = std::env::current_exe().expect("this test's own file");
        let folder = test.parent().expect("its folder");
        let library = folder.join("librushquay_faults.so");
        // Other test processes may do the same at this moment: each compiles its own, and the last rename counts.
        let own = folder.join(format!("librushquay_faults-{}.so", std::process::id()));
        let compiled = Command::new("cc")
            .args(["-O1", "-Wall", "-shared", "-fPIC", "-o"])
            .args([&own, &source])
            .arg("-ldl")
            .status()
            .expect("a C compiler");
        assert!(compiled.success(), "the library of faults was not compiled");
        std::fs::rename(&own, &library).expect("renamed");
        library
    })
}
