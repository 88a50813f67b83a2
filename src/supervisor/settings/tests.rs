use super::*;

#[test]
fn what_is_wrong_is_named() {
    let good = "name='p0'\ndir='/a'\nprograms='/b'\nprogram='00112233445566778899aabbccddeeff'\n";
    assert_eq!(HostSettings::parse(good).expect("good").terms, Timeouts::default());
    let cases = [
        (good.replace("name='p0'", "name=' '"), "name:"),
        (good.replace("'/a'", "'a'"), "dir:"),
        (good.replace("eeff'", "ee'"), "program:"),
        (format!("{good}[terms]\nhang_s = 0.5\n"), "terms.hang_s:"),
        (format!("{good}[terms]\nyes_within_s = nan\n"), "terms.yes_within_s:"),
        (format!("{good}[environment]\nPROXY_HOST = 'x'\n"), "environment.PROXY_HOST:"),
        (format!("{good}[control]\naddresses = []\n"), "control.addresses:"),
        // Half of it was written.
        (good[..good.len() / 2].to_owned(), "TOML"),
    ];
    for (text, field) in cases {
        let why = HostSettings::parse(&text).expect_err("refused");
        assert!(why.contains(field), "{field}: {why}");
    }
}
