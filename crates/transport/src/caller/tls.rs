//! TLS towards callers, with certificate files that are reloaded while the proxy runs.

use std::path::Path;
use std::sync::Arc;

use parking_lot::RwLock;
use rustls::ServerConfig;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

use crate::caller::settings::{CallerError, TlsContent, TlsSettings};

/// The certificate in use and the files it was loaded from.
pub struct TlsAcceptance {
    settings: TlsSettings,
    current: RwLock<Loaded>,
}

/// Content of the files and the configuration built from it.
struct Loaded {
    certificate: Vec<u8>,
    key: Vec<u8>,
    config: Arc<ServerConfig>,
}

impl TlsAcceptance {
    /// Loads the files.
    ///
    /// # Errors
    /// When a file cannot be read or used.
    pub fn load(settings: TlsSettings) -> Result<Self, CallerError> {
        let current = RwLock::new(Loaded::read(&settings)?);
        Ok(Self { settings, current })
    }

    /// Returns the settings that name the certificate and key files.
    pub fn settings(&self) -> &TlsSettings {
        &self.settings
    }

    /// Reloads the files. Returns whether they had changed; if they cannot be used, the
    /// previous configuration stays in use.
    ///
    /// # Errors
    /// When a file cannot be read or used.
    pub fn reload(&self) -> Result<bool, CallerError> {
        let certificate = read(&self.settings.certificate)?;
        let key = read(&self.settings.key)?;
        let held = self.current.read();
        let same = held.certificate == certificate && held.key == key;
        drop(held);
        if same {
            return Ok(false);
        }
        *self.current.write() = Loaded::parse(&self.settings, certificate, key)?;
        Ok(true)
    }

    /// Returns an acceptor with the certificate currently in use.
    pub fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(Arc::clone(&self.current.read().config))
    }
}

impl Loaded {
    fn read(settings: &TlsSettings) -> Result<Self, CallerError> {
        let certificate = read(&settings.certificate)?;
        let key = read(&settings.key)?;
        Self::parse(settings, certificate, key)
    }

    fn parse(
        settings: &TlsSettings,
        certificate: Vec<u8>,
        key: Vec<u8>,
    ) -> Result<Self, CallerError> {
        let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_slice_iter(&certificate)
            .collect::<Result<_, _>>()
            .map_err(|_| unusable(&settings.certificate, TlsContent::Certificate))?;
        if chain.is_empty() {
            return Err(unusable(&settings.certificate, TlsContent::Certificate));
        }
        let private = PrivateKeyDer::from_pem_slice(&key)
            .map_err(|_| unusable(&settings.key, TlsContent::Key))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_single_cert(chain, private)?;
        Ok(Self {
            certificate,
            key,
            config: Arc::new(config),
        })
    }
}

fn read(path: &Path) -> Result<Vec<u8>, CallerError> {
    std::fs::read(path).map_err(|source| CallerError::TlsFile {
        path: path.to_owned(),
        source,
    })
}

fn unusable(path: &Path, content: TlsContent) -> CallerError {
    CallerError::TlsContent {
        path: path.to_owned(),
        content,
    }
}
