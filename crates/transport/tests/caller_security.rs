//! Tests of access control: credentials, TLS, and input that is not a PostgreSQL session.

mod caller_support;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use caller_support::raw::{RawClient, bind, command_tags, first_error, packet, parse, startup};
use caller_support::{FakeGroup, config, settings, sqlstate, start, start_with};
use hookpoint_protocol::extended::sync;
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::scram::Verifier;
use hookpoint_transport::caller::{
    CallerError, CallerListener, CallerSettings, Credential, CredentialStore, TlsContent,
    TlsSettings,
};
use rustls_pki_types::ServerName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::NoTls;

fn credentials() -> CredentialStore {
    CredentialStore::new([
        (
            "clinic".to_owned(),
            Credential::Password("secret".to_owned()),
        ),
        (
            "shop".to_owned(),
            Credential::Verifier(Verifier::from_password("counter", 4_096)),
        ),
    ])
}

#[actix_rt::test]
async fn passwords_are_checked() {
    let group = FakeGroup::new();
    let settings = CallerSettings {
        credentials: credentials(),
        ..settings()
    };
    let handle = start_with(&group, settings).await;
    let cases = [
        ("clinic", Some("secret"), None),
        ("shop", Some("counter"), None),
        ("clinic", Some("counter"), Some("28P01")),
        ("shop", Some(""), Some("28P01")),
        ("nobody", Some("secret"), Some("28P01")),
    ];
    for (user, password, expected) in cases {
        let mut config = config(&handle);
        config.user(user);
        if let Some(password) = password {
            config.password(password);
        }
        match (config.connect(NoTls).await, expected) {
            (Ok((client, connection)), None) => {
                actix_rt::spawn(connection);
                client.simple_query("SELECT 1").await.expect("an answer");
            }
            (Err(error), Some(expected)) => assert_eq!(sqlstate(&error), expected, "{user}"),
            (result, _) => panic!("{user} {password:?}: {:?}", result.map(|_| "a session")),
        }
    }
    handle.stop().await;
}

#[actix_rt::test]
async fn trust_is_refused_beyond_loopback() {
    let group = FakeGroup::new();
    let listen: SocketAddr = "0.0.0.0:0".parse().expect("an address");
    let settings = CallerSettings {
        listen,
        ..settings()
    };
    let shared = Arc::clone(&group.shared);
    let result = CallerListener::start(settings, shared, group.clone(), group).await;
    let error = result.map(|handle| handle.address()).expect_err("refused");
    assert!(matches!(error, CallerError::TrustOutsideLoopback { address } if address == listen));
}

/// A directory of this test with a certificate and key for `localhost`.
struct Files {
    directory: PathBuf,
}

impl Files {
    fn new(name: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("hookpoint-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        Self { directory }
    }

    /// Writes a new certificate and key; returns the certificate.
    fn write(&self) -> rustls_pki_types::CertificateDer<'static> {
        let names = vec!["localhost".to_owned()];
        let pair = rcgen::generate_simple_self_signed(names).expect("a certificate");
        std::fs::write(self.certificate(), pair.cert.pem()).expect("a file");
        std::fs::write(self.key(), pair.signing_key.serialize_pem()).expect("a file");
        pair.cert.der().clone()
    }

    fn certificate(&self) -> PathBuf {
        self.directory.join("certificate.pem")
    }

    fn key(&self) -> PathBuf {
        self.directory.join("key.pem")
    }

    fn settings(&self, required: bool) -> CallerSettings {
        CallerSettings {
            tls: Some(TlsSettings {
                certificate: self.certificate(),
                key: self.key(),
                reload_interval: Duration::ZERO,
                required,
            }),
            ..settings()
        }
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _removed = std::fs::remove_dir_all(&self.directory);
    }
}

/// Starts a session over TLS that trusts only `certificate`.
async fn tls_greeting(
    address: SocketAddr,
    certificate: rustls_pki_types::CertificateDer<'static>,
) -> Result<Vec<u8>, std::io::Error> {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(certificate).expect("a certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let mut socket = TcpStream::connect(address).await?;
    socket
        .write_all(&packet(&80_877_103_u32.to_be_bytes()))
        .await?;
    let mut answer = [0; 1];
    socket.read_exact(&mut answer).await?;
    assert_eq!(&answer, b"S");
    let connector = tokio_rustls::TlsConnector::from(Arc::new(client));
    let name = ServerName::try_from("localhost").expect("a name");
    let mut encrypted = connector.connect(name, socket).await?;
    encrypted.write_all(&startup(196_608, &[])).await?;
    let mut greeting = vec![0; 9];
    encrypted.read_exact(&mut greeting).await?;
    Ok(greeting)
}

#[actix_rt::test]
async fn tls_files_are_reloaded_without_a_restart() {
    let files = Files::new("tls");
    let old = files.write();
    let group = FakeGroup::new();
    let handle = start_with(&group, files.settings(true)).await;
    let address = handle.address();
    let greeting = tls_greeting(address, old.clone()).await.expect("a session");
    assert_eq!(greeting, b"R\0\0\0\x08\0\0\0\0");
    assert!(!handle.reload_tls().await.expect("nothing new"));
    std::fs::write(files.key(), "no key").expect("a file");
    let error = handle.reload_tls().await.expect_err("no usable key");
    assert!(matches!(
        error,
        CallerError::TlsContent {
            content: TlsContent::Key,
            ..
        }
    ));
    tls_greeting(address, old.clone())
        .await
        .expect("the old pair is still in use");
    let new = files.write();
    assert!(handle.reload_tls().await.expect("a new pair"));
    tls_greeting(address, new)
        .await
        .expect("the new pair is in use");
    tls_greeting(address, old)
        .await
        .expect_err("the old pair is not");
    let (_, plain) = RawClient::begin(&handle, &[]).await;
    assert_eq!(first_error(&plain).as_deref(), Some("28000"));
    handle.stop().await;
}

#[actix_rt::test]
async fn error_names_the_missing_tls_file() {
    let files = Files::new("missing");
    let group = FakeGroup::new();
    let shared = Arc::clone(&group.shared);
    let result = CallerListener::start(files.settings(false), shared, group.clone(), group).await;
    let error = result.map(|handle| handle.address()).expect_err("no files");
    let CallerError::TlsFile { path, .. } = error else {
        panic!("another error: {error}");
    };
    assert_eq!(path, Path::new(&files.certificate()));
}

#[actix_rt::test]
async fn malformed_input_ends_only_its_own_connection() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut bystander, _) = RawClient::begin(&handle, &[]).await;
    let oversized = [b'Q', 0x7f, 0xff, 0xff, 0xff];
    let raw: Vec<(&str, Vec<u8>, Option<&str>)> = vec![
        ("a short packet", vec![0, 0, 0, 3], Some("08P01")),
        ("a huge packet", vec![0x7f, 0xff, 0xff, 0xff], Some("08P01")),
        (
            "an old version",
            packet(&0x0002_0000_u32.to_be_bytes()),
            Some("08P01"),
        ),
        ("no terminator", packet(b"\0\x03\0\0user"), Some("08P01")),
        ("no user", packet(b"\0\x03\0\0\0"), Some("08P01")),
        (
            "another protocol",
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            Some("08P01"),
        ),
        (
            "replication",
            startup(196_608, &[("replication", "database")]),
            Some("0A000"),
        ),
        (
            "a setting's name",
            startup(196_608, &[("a b", "1")]),
            Some("42602"),
        ),
        (
            "an option",
            startup(196_608, &[("options", "-x")]),
            Some("08P01"),
        ),
        (
            "a cut cancel request",
            packet(&80_877_102_u32.to_be_bytes()),
            Some("08P01"),
        ),
    ];
    for (case, bytes, expected) in raw {
        let mut client = RawClient::open(&handle).await;
        client.send_raw(&bytes).await;
        let answer = client.until_ready().await;
        assert_eq!(first_error(&answer).as_deref(), expected, "{case}");
        assert!(client.next().await.is_none(), "{case}");
    }
    let frames: Vec<(&str, Vec<u8>)> = vec![
        ("an oversized message", oversized.to_vec()),
        ("a length below its minimum", vec![b'Q', 0, 0, 0, 1]),
        ("an unknown tag", vec![b'!', 0, 0, 0, 4]),
        ("a server's tag", vec![b'Z', 0, 0, 0, 5, b'I']),
    ];
    for (case, bytes) in frames {
        let (mut client, _) = RawClient::begin(&handle, &[]).await;
        client.send_raw(&bytes).await;
        let answer = client.until_ready().await;
        assert_eq!(first_error(&answer).as_deref(), Some("08P01"), "{case}");
        assert!(client.next().await.is_none(), "{case}");
    }
    assert_eq!(
        command_tags(&bystander.query("SELECT 1").await),
        ["SELECT 1"]
    );
    handle.stop().await;
}

#[actix_rt::test]
async fn malformed_messages_are_errors_and_the_session_continues() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    let cases = [
        (
            "query without an end",
            vec![Frame::new(b'Q', b"SELECT 1".to_vec())],
        ),
        (
            "query that is no text",
            vec![Frame::new(b'Q', b"\xff\xfe\0".to_vec())],
        ),
        (
            "parse cut short",
            vec![Frame::new(b'P', b"s\0SELECT 1\0".to_vec()), sync()],
        ),
        (
            "bind without names",
            vec![Frame::new(b'B', b"x".to_vec()), sync()],
        ),
        (
            "describe of nothing",
            vec![Frame::new(b'D', b"Xs\0".to_vec()), sync()],
        ),
        (
            "execute cut short",
            vec![Frame::new(b'E', b"\0\0".to_vec()), sync()],
        ),
        ("function call", vec![Frame::new(b'F', Vec::new())]),
    ];
    for (case, frames) in cases {
        client.send(&frames).await;
        let answer = client.until_ready().await;
        assert_eq!(first_error(&answer).as_deref(), Some("08P01"), "{case}");
    }
    client
        .send(&[parse("", "SELECT 1"), bind("", ""), sync()])
        .await;
    assert!(first_error(&client.until_ready().await).is_none());
    handle.stop().await;
}

#[actix_rt::test]
async fn half_open_connections_and_excess_sessions_are_refused() {
    let group = FakeGroup::new();
    let mut bundle = caller_support::bundle();
    bundle.version.0 = 2;
    bundle.limits.sessions_per_node = 2;
    group.shared.install_bundle(bundle);
    let settings = CallerSettings {
        startup_timeout: Duration::from_millis(200),
        ..settings()
    };
    let handle = start_with(&group, settings).await;
    let mut silent = RawClient::open(&handle).await;
    let mut partial = RawClient::open(&handle).await;
    partial.send_raw(&startup(196_608, &[])[..10]).await;
    let (mut first, _) = RawClient::begin(&handle, &[]).await;
    let (_second, _) = RawClient::begin(&handle, &[]).await;
    let (_, refused) = RawClient::begin(&handle, &[]).await;
    assert_eq!(first_error(&refused).as_deref(), Some("53300"));
    assert!(silent.next().await.is_none());
    assert!(partial.next().await.is_none());
    drop(_second);
    group
        .until("its place is free", |_| handle.sessions() == 1)
        .await;
    let (_, greeting) = RawClient::begin(&handle, &[]).await;
    assert!(first_error(&greeting).is_none());
    assert_eq!(command_tags(&first.query("SELECT 1").await), ["SELECT 1"]);
    handle.stop().await;
}
