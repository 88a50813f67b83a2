use super::*;

#[test]
fn errors_name_the_invalid_field() {
    let valid = "name='p0'\ndir='/a'\nprograms='/b'\nprogram='00112233445566778899aabbccddeeff'\n";
    assert_eq!(SupervisorSettings::parse(valid).expect("valid settings").timeouts, Timeouts::default());
    let cases = [
        (valid.replace("name='p0'", "name=' '"), "name:"),
        (valid.replace("'/a'", "'a'"), "dir:"),
        (valid.replace("eeff'", "ee'"), "program:"),
        (format!("{valid}[terms]\nhang_s = 0.5\n"), "terms.hang_s:"),
        (format!("{valid}[terms]\nyes_within_s = nan\n"), "terms.yes_within_s:"),
        (format!("{valid}[environment]\nPROXY_HOST = 'x'\n"), "environment.PROXY_HOST:"),
        (format!("{valid}[control]\naddresses = []\n"), "control.addresses:"),
        // A truncated file.
        (valid[..valid.len() / 2].to_owned(), "TOML"),
    ];
    for (text, field) in cases {
        let error = SupervisorSettings::parse(&text).expect_err("invalid settings");
        assert!(error.contains(field), "{field}: {error}");
    }
}
