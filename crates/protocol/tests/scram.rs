//! SCRAM-SHA-256: the example of RFC 7677, and tables of malformed or wrong messages.

use std::sync::LazyLock;

use hookpoint_protocol::scram::{
    ClientExchange, MECHANISM, ScramError, ServerExchange, Verifier, VerifierError,
};
use quickcheck::{Arbitrary, Gen};

const SECRET: &[u8] = b"secret of this node";
const CLIENT_NONCE: &str = "rOprNGfwEbeRWgbNEkqO";
const SERVER_NONCE: &str = "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0";
const CLIENT_FIRST: &str = "n,,n=user,r=rOprNGfwEbeRWgbNEkqO";
const SERVER_FIRST: &str =
    "r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096";
const CLIENT_LAST: &str = "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=";
const SERVER_LAST: &str = "v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=";

static VERIFIER: LazyLock<Verifier> = LazyLock::new(|| {
    let salt = vec![
        0x5b, 0x6d, 0x99, 0x68, 0x9d, 0x12, 0x35, 0x8e, 0xec, 0xa0, 0x4b, 0x14, 0x12, 0x36, 0xfa,
        0x81,
    ];
    Verifier::with_salt("pencil", 4_096, salt)
});

fn server() -> ServerExchange {
    ServerExchange::with_nonce(Some(&*VERIFIER), "user", SECRET, SERVER_NONCE.to_owned())
}

#[test]
fn server_reproduces_the_example_of_rfc_7677() {
    let mut exchange = server();
    let first = exchange.first(MECHANISM, CLIENT_FIRST.as_bytes());
    assert_eq!(first.as_deref(), Ok(SERVER_FIRST));
    let last = exchange.last(CLIENT_LAST.as_bytes());
    assert_eq!(last.as_deref(), Ok(SERVER_LAST));
    assert_eq!(
        exchange.last(CLIENT_LAST.as_bytes()),
        Err(ScramError::UnexpectedMessage)
    );
}

#[test]
fn only_the_right_password_is_accepted() {
    let verifier = Verifier::from_password("naïve ﬁsh", 4_096);
    for (password, right) in [("naïve ﬁsh", true), ("naïve fish", true), ("other", false)] {
        let mut server = ServerExchange::new(Some(&verifier), "user", SECRET);
        let mut client = ClientExchange::new(password);
        let first = server.first(MECHANISM, client.first().as_bytes()).unwrap();
        let last = client.last(first.as_bytes()).unwrap();
        let proof = server.last(last.as_bytes());
        match right {
            true => assert_eq!(client.finish(proof.unwrap().as_bytes()), Ok(())),
            false => assert_eq!(proof, Err(ScramError::WrongPassword)),
        }
    }
}

#[test]
fn unknown_users_are_indistinguishable_until_the_last_message() {
    let start = |user: &str| {
        let mut server = ServerExchange::with_nonce(None, user, SECRET, "n".to_owned());
        let client = ClientExchange::with_nonce("pencil", "c".to_owned());
        let first = server.first(MECHANISM, client.first().as_bytes()).unwrap();
        (server, client, first)
    };
    let (mut server, mut client, challenge) = start("nobody");
    assert_eq!(challenge, start("nobody").2, "the salt changed");
    assert_ne!(challenge, start("somebody").2);
    let last = client.last(challenge.as_bytes()).unwrap();
    assert_eq!(server.last(last.as_bytes()), Err(ScramError::WrongPassword));
}

#[test]
fn malformed_first_messages_are_refused() {
    let table = [
        (MECHANISM, "", ScramError::Malformed),
        (MECHANISM, "n,,", ScramError::Malformed),
        (MECHANISM, "n,,n=user", ScramError::Malformed),
        (MECHANISM, "n,,n=user,r=", ScramError::Malformed),
        (MECHANISM, "n,,n=user,r=a\u{e9}", ScramError::Malformed),
        (MECHANISM, "n,a=other,n=user,r=abc", ScramError::Malformed),
        (MECHANISM, "x,,n=user,r=abc", ScramError::Malformed),
        (
            MECHANISM,
            "p=tls-server-end-point,,n=,r=abc",
            ScramError::ChannelBinding,
        ),
        (
            "SCRAM-SHA-256-PLUS",
            CLIENT_FIRST,
            ScramError::ChannelBinding,
        ),
        ("MD5", CLIENT_FIRST, ScramError::ChannelBinding),
    ];
    for (mechanism, message, error) in table {
        let mut exchange = server();
        let response = exchange.first(mechanism, message.as_bytes());
        assert_eq!(response, Err(error), "{message}");
        let again = exchange.first(MECHANISM, CLIENT_FIRST.as_bytes());
        assert_eq!(again, Err(ScramError::UnexpectedMessage), "{message}");
    }
    let long = format!("n,,n=user,r={}", "a".repeat(3_000));
    assert_eq!(
        server().first(MECHANISM, long.as_bytes()),
        Err(ScramError::Malformed)
    );
}

#[test]
fn wrong_last_messages_are_refused() {
    let table = [
        (
            CLIENT_LAST.replace("biws", "eSws"),
            ScramError::ExchangeMismatch,
        ),
        (
            CLIENT_LAST.replace("rOpr", "rOpq"),
            ScramError::ExchangeMismatch,
        ),
        (
            CLIENT_LAST.replace("dHzb", "dHzc"),
            ScramError::WrongPassword,
        ),
        (CLIENT_LAST.replace("dHzbZapW", ""), ScramError::Malformed),
        (CLIENT_LAST.replace(",p=", ",q="), ScramError::Malformed),
        (CLIENT_LAST.replace("c=biws,", ""), ScramError::Malformed),
        (String::new(), ScramError::Malformed),
    ];
    for (message, error) in table {
        let mut exchange = server();
        exchange.first(MECHANISM, CLIENT_FIRST.as_bytes()).unwrap();
        assert_eq!(exchange.last(message.as_bytes()), Err(error), "{message}");
    }
    assert_eq!(
        server().last(CLIENT_LAST.as_bytes()),
        Err(ScramError::UnexpectedMessage)
    );
}

#[test]
fn client_refuses_wrong_server_messages() {
    let table = [
        (
            "r=other,s=W22Z,i=4096".to_owned(),
            ScramError::ExchangeMismatch,
        ),
        (
            format!("r={CLIENT_NONCE},s=W22Z,i=4096"),
            ScramError::ExchangeMismatch,
        ),
        (
            format!("r={CLIENT_NONCE}x,s=W22Z,i=1"),
            ScramError::IterationsOutOfRange,
        ),
        (
            format!("r={CLIENT_NONCE}x,s=W22Z,i=4000000000"),
            ScramError::IterationsOutOfRange,
        ),
        (
            format!("r={CLIENT_NONCE}x,s=!,i=4096"),
            ScramError::Malformed,
        ),
        (format!("r={CLIENT_NONCE}x,i=4096"), ScramError::Malformed),
        (String::new(), ScramError::Malformed),
    ];
    let client = || ClientExchange::with_nonce("pencil", CLIENT_NONCE.to_owned());
    for (message, error) in table {
        assert_eq!(client().last(message.as_bytes()), Err(error), "{message}");
    }
    for (message, error) in [
        (SERVER_LAST, ScramError::ServerNotAuthenticated),
        ("e=invalid-proof", ScramError::WrongPassword),
        ("v=", ScramError::ServerNotAuthenticated),
        ("x", ScramError::Malformed),
    ] {
        let mut client = client();
        client.last(SERVER_FIRST.as_bytes()).unwrap();
        assert_eq!(client.finish(message.as_bytes()), Err(error), "{message}");
    }
    assert_eq!(
        client().finish(SERVER_LAST.as_bytes()),
        Err(ScramError::UnexpectedMessage)
    );
}

#[test]
fn verifiers_are_parsed_and_formatted() {
    let text = VERIFIER.to_string();
    assert!(text.starts_with("SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$"));
    assert_eq!(text.parse(), Ok(VERIFIER.clone()));
    assert!(
        !format!("{:?}", *VERIFIER).contains("W22Z"),
        "the debug output contains the salt"
    );
    let table = [
        (
            "md5d41d8cd98f00b204e9800998ecf8427e".to_owned(),
            VerifierError::Md5,
        ),
        (String::new(), VerifierError::Malformed),
        ("pencil".to_owned(), VerifierError::Malformed),
        (text.replace("4096", "0"), VerifierError::Malformed),
        (text.replace("4096", "99999999"), VerifierError::Malformed),
        (text[..text.len() - 4].to_owned(), VerifierError::Malformed),
    ];
    for (text, error) in table {
        assert_eq!(text.parse::<Verifier>(), Err(error), "{text}");
    }
}

#[test]
fn random_bytes_do_not_make_either_side_panic() {
    for seed in 0..2_000 {
        let mut random = Gen::from_size_and_seed(60, seed);
        let bytes = Vec::<u8>::arbitrary(&mut random);
        let mut exchange = server();
        let _ = exchange.first(MECHANISM, &bytes);
        assert!(exchange.last(&bytes).is_err());
        let mut client = ClientExchange::with_nonce("p", "n".to_owned());
        assert!(client.last(&bytes).is_err());
        assert!(client.finish(&bytes).is_err());
        assert!(String::from_utf8_lossy(&bytes).parse::<Verifier>().is_err());
    }
}
