//! Parsing and validation of settings: accepted documents, and line, key and reason of
//! problems.

use hookpoint::settings::{
    LogFormat, ProxySettings, SettingsError, is_base_url, load_settings, parse_settings,
};

const SHARED_KEY: &str = "00112233445566778899aabbccddeeff";
const PUBLIC_KEY: &str = "19bf44096984cdfe8541bac167dc3b96c85086aa30b6b6cb0c5c38ad703166e1";

fn valid_settings() -> String {
    format!(
        r#"[node]
zone = "sj-sala-a"
region = "san-jose"

[callers]
listen = "10.0.0.7:6432"
workers = 2

[callers.passwords]
clinic = "secret words"

[tokens]
keys = ["{SHARED_KEY}"]

[backends.passwords]
mensajes = "another secret"

[peers]
listen = "0.0.0.0:7432"
advertise = "10.0.0.7:7432"
seeds = ["10.0.0.8:7432"]
keys = ["{SHARED_KEY}"]

[platform]
urls = ["http://10.0.0.1:2379"]

[bundles]
trusted_keys = ["{PUBLIC_KEY}"]

[log]
format = "json"
"#
    )
}

#[test]
fn valid_settings_are_parsed_and_secrets_are_hidden() {
    let settings = parse_settings("good.toml", &valid_settings()).expect("valid settings");
    assert_eq!(settings.callers.listen.port(), 6432);
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.platform.timeout_ms, 3_000);
    assert_eq!(
        settings.callers.passwords["clinic"].expose(),
        "secret words"
    );
    let debug_output = format!("{settings:?}");
    for secret in ["secret words", "another secret", SHARED_KEY] {
        assert!(!debug_output.contains(secret), "{debug_output}");
    }
    let smallest = parse_settings("small.toml", "[node]\nzone = \"z\"\nregion = \"r\"\n");
    assert!(
        smallest
            .expect("valid settings")
            .callers
            .listen
            .ip()
            .is_loopback()
    );
}

/// Text to replace in the valid settings, its replacement, and line, key and reason of the
/// problem.
const INVALID_SETTINGS: &[(&str, &str, usize, &str, &str)] = &[
    (
        "zone = \"sj-sala-a\"\n",
        "",
        1,
        "node",
        "missing field `zone`",
    ),
    (
        "zone = \"sj-sala-a\"",
        "zone = \"\"",
        2,
        "node.zone",
        "the name is empty",
    ),
    (
        "region = \"san-jose\"",
        "regoin = \"r\"",
        3,
        "node.regoin",
        "unknown field",
    ),
    (
        "10.0.0.7:6432",
        "localhost:6432",
        6,
        "callers.listen",
        "invalid socket address",
    ),
    (
        "workers = 2",
        "workers = 0",
        7,
        "callers.workers",
        "0 is outside 1 to 256",
    ),
    (
        "clinic = \"secret words\"",
        "",
        6,
        "callers.listen",
        "only loopback may be listened on",
    ),
    (
        "clinic = \"secret words\"",
        "clinic = \"x\"\n[callers.verifiers]\nclinic = \"y\"",
        12,
        "callers.verifiers.clinic",
        "has a password already",
    ),
    (
        "[tokens]",
        "[callers.tls]\ncertificate = \"c\"\nkey = \"k\"\nreload_seconds = 0\n[tokens]",
        15,
        "callers.tls.reload_seconds",
        "longer than zero",
    ),
    (
        "[tokens]\nkeys = [\"00",
        "[tokens]\nkeys = [\"zz",
        13,
        "tokens.keys",
        "hexadecimal digits",
    ),
    (
        "keys = [\"00112233445566778899aabbccddeeff\"]\n\n[platform]",
        "\n[platform]",
        19,
        "peers.listen",
        "without fleet keys",
    ),
    (
        "advertise = \"10.0.0.7:7432\"",
        "",
        19,
        "peers.listen",
        "`advertise` is needed",
    ),
    (
        "10.0.0.8:7432",
        "10.0.0.8:0",
        21,
        "peers.seeds[0]",
        "not the address of one machine",
    ),
    (
        "http://10.0.0.1:2379",
        "https://etcd.example",
        25,
        "platform.urls[0]",
        "no URL of the form",
    ),
    (
        "[bundles]",
        "timeout_ms = 0\n[bundles]",
        27,
        "platform.timeout_ms",
        "longer than zero",
    ),
    (
        "19bf",
        "19bz",
        28,
        "bundles.trusted_keys[0]",
        "64 hexadecimal digits",
    ),
    (
        "19bf",
        "ffff",
        28,
        "bundles.trusted_keys[0]",
        "no public key",
    ),
    (
        "format = \"json\"",
        "format = \"xml\"",
        31,
        "log.format",
        "unknown variant",
    ),
    ("[log]", "[log", 30, "", "unclosed table"),
];

#[test]
fn invalid_settings_report_file_line_key_and_reason() {
    for (old, new, line, key, reason) in INVALID_SETTINGS {
        let text = valid_settings();
        assert!(text.contains(old), "the valid settings hold {old}");
        let result = parse_settings("bad.toml", &text.replacen(old, new, 1));
        let Err(SettingsError::Problems { document, problems }) = result else {
            panic!("{new:?} should be refused");
        };
        assert_eq!(document, "bad.toml");
        let found = problems.iter().any(|problem| {
            problem.line == *line
                && problem.key.to_string() == *key
                && problem.reason.to_string().contains(reason)
        });
        assert!(
            found,
            "{new:?} should give line {line}, {key}, {reason}: {problems:?}"
        );
    }
}

#[test]
fn an_unreadable_file_is_named_in_the_error() {
    let error = load_settings("/nowhere/settings.toml".as_ref()).expect_err("no file");
    assert!(
        error.to_string().starts_with("/nowhere/settings.toml: "),
        "{error}"
    );
}

#[test]
fn settings_built_in_code_are_validated() {
    let mut settings = ProxySettings::new("z".into(), "r".into());
    assert!(settings.verify().is_ok());
    settings.platform.urls = vec!["http://127.0.0.1:1".to_owned()];
    let error = settings.verify().expect_err("no trusted key");
    assert!(
        error.to_string().starts_with("bundles.trusted_keys: "),
        "{error}"
    );
}

#[test]
fn a_base_url_names_scheme_address_and_port() {
    let table = [
        ("http://127.0.0.1:2379", true),
        ("http://127.0.0.1:2379/", true),
        ("http://[::1]:2379", true),
        ("http://127.0.0.1", false),
        ("https://127.0.0.1:2379", false),
        ("127.0.0.1:2379", false),
        ("elsewhere", false),
        ("", false),
    ];
    for (url, accepted) in table {
        assert_eq!(is_base_url(url), accepted, "{url}");
    }
}
