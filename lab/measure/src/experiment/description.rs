//! Parses and validates the description of an experiment.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_workload::load::Mix;
use serde::Deserialize;
use thiserror::Error;

/// Maximum number of runs of an experiment.
const MAXIMUM_RUNS: usize = 500;
/// Maximum number of nodes of a run.
const MAXIMUM_NODES: usize = 500;
/// Maximum number of sessions of a run.
const MAXIMUM_SESSIONS: usize = 10_000;
/// Prefix of the name of an address that is given on the command line.
const PLACEHOLDER_PREFIX: char = '$';

/// The kind of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Load on a server address. The sizes are numbers of sessions.
    Load,
    /// Fleets of hollow nodes. The sizes are numbers of nodes.
    Scale,
}

/// A variant of the measured setup.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the report.
    pub name: String,
    /// Load: address as `ip:port`, or `$name` for one given on the command line.
    pub address: Option<String>,
    /// Load: whether to connect through a plain relay.
    #[serde(default)]
    pub relay: bool,
    /// Scale: number of groups that each node uses; 1 by default.
    pub groups: Option<usize>,
    /// Scale: number of databases per node; 2 by default.
    pub databases_per_node: Option<usize>,
}

/// The description of an experiment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Description {
    /// Title of the report.
    pub title: String,
    /// Kind of the experiment.
    pub kind: Kind,
    /// Numbers of sessions or nodes, strictly ascending.
    pub sizes: Vec<usize>,
    /// Number of runs of each variant at each size.
    pub repeats: usize,
    /// Duration of each measurement in seconds.
    pub seconds: u64,
    /// Seed of the random number generators; the round is added to it.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Load: `messaging`, `metering`, `reads`, `writes` or `trivial`, which is the default.
    pub mix: Option<String>,
    /// Load: database to connect to; a proxy takes it as the name of the group.
    pub database: Option<String>,
    /// Load: requests per second. When absent, each session sends its next request as soon as
    /// it has the previous answer.
    pub rate: Option<f64>,
    /// Scale: number of zones; 5 by default.
    pub zones: Option<usize>,
    /// Variants. The first variant is the baseline of the ratios.
    pub variants: Vec<Variant>,
}

fn default_seed() -> u64 {
    1
}

/// Why a description was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DescriptionError {
    /// The text is not valid TOML or has unknown, missing or malformed fields.
    #[error("the description cannot be parsed: {0}")]
    Toml(String),
    /// A list is empty or a number is zero.
    #[error("{0} must not be empty or zero")]
    EmptyOrZero(&'static str),
    /// The sizes are not strictly ascending.
    #[error("sizes must be strictly ascending")]
    SizesNotAscending,
    /// Two variants have the same name.
    #[error("there are two variants named {0}")]
    DuplicateVariant(String),
    /// A number exceeds its maximum.
    #[error("{what} must be at most {most}")]
    TooLarge {
        /// Name of the number.
        what: &'static str,
        /// Maximum value.
        most: usize,
    },
    /// A field required by the kind of experiment is missing.
    #[error("variant {variant} needs {field}")]
    MissingField {
        /// Name of the variant.
        variant: String,
        /// Name of the field.
        field: &'static str,
    },
    /// A field does not apply to the kind of experiment.
    #[error("{0} does not apply to this kind of experiment")]
    NotApplicable(&'static str),
    /// The mix is unknown.
    #[error("unknown mix {0}")]
    UnknownMix(String),
    /// An address is not valid.
    #[error("{0} is not an ip:port address")]
    InvalidAddress(String),
    /// A named address was not given on the command line.
    #[error("give the address {0} with --set")]
    AddressNotGiven(String),
}

/// Parses and validates a description. Replaces `$name` addresses by those in `addresses`,
/// which were given on the command line.
///
/// # Errors
/// The first [`DescriptionError`] found.
pub fn parse(
    text: &str,
    addresses: &BTreeMap<String, SocketAddr>,
) -> Result<Description, DescriptionError> {
    let mut description: Description =
        toml::from_str(text).map_err(|error| DescriptionError::Toml(error.message().to_owned()))?;
    description.check()?;
    for variant in &mut description.variants {
        variant.resolve_address(addresses)?;
    }
    Ok(description)
}

impl Description {
    /// Returns the duration of each measurement.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// Returns the mix of a load, by default the trivial mix; `None` when the name is unknown.
    pub fn mix(&self) -> Option<Mix> {
        Mix::by_name(self.mix.as_deref().unwrap_or("trivial"))
    }

    fn check(&self) -> Result<(), DescriptionError> {
        let amounts = [
            (self.sizes.len(), "sizes"),
            (self.sizes.first().copied().unwrap_or(1), "the first size"),
            (self.variants.len(), "variants"),
            (self.repeats, "repeats"),
            (self.seconds as usize, "seconds"),
        ];
        if let Some((_, name)) = amounts.iter().find(|(amount, _)| *amount == 0) {
            return Err(DescriptionError::EmptyOrZero(name));
        }
        if !self.sizes.is_sorted_by(|before, after| before < after) {
            return Err(DescriptionError::SizesNotAscending);
        }
        let mut names = BTreeSet::new();
        for variant in &self.variants {
            if !names.insert(&variant.name) {
                return Err(DescriptionError::DuplicateVariant(variant.name.clone()));
            }
        }
        self.check_bounds()?;
        match self.kind {
            Kind::Load => self.check_load(),
            Kind::Scale => self.check_scale(),
        }
    }

    fn check_bounds(&self) -> Result<(), DescriptionError> {
        let runs = self.sizes.len() * self.variants.len();
        let (what, most) = match self.kind {
            Kind::Load => ("sessions", MAXIMUM_SESSIONS),
            Kind::Scale => ("nodes", MAXIMUM_NODES),
        };
        let too_large = |what, most| Err(DescriptionError::TooLarge { what, most });
        if self.sizes.iter().any(|size| *size > most) {
            return too_large(what, most);
        }
        if runs.saturating_mul(self.repeats) > MAXIMUM_RUNS {
            return too_large("the number of runs", MAXIMUM_RUNS);
        }
        Ok(())
    }

    fn check_load(&self) -> Result<(), DescriptionError> {
        if self.zones.is_some() {
            return Err(DescriptionError::NotApplicable("zones"));
        }
        if self.mix().is_none() {
            let name = self.mix.clone().unwrap_or_default();
            return Err(DescriptionError::UnknownMix(name));
        }
        for variant in &self.variants {
            if variant.groups.is_some() || variant.databases_per_node.is_some() {
                return Err(DescriptionError::NotApplicable("groups"));
            }
            if variant.address.is_none() {
                return Err(DescriptionError::MissingField {
                    variant: variant.name.clone(),
                    field: "an address",
                });
            }
        }
        Ok(())
    }

    fn check_scale(&self) -> Result<(), DescriptionError> {
        let not_applicable = [
            (self.mix.is_some(), "mix"),
            (self.database.is_some(), "database"),
            (self.rate.is_some(), "rate"),
        ];
        if let Some((_, field)) = not_applicable.iter().find(|(given, _)| *given) {
            return Err(DescriptionError::NotApplicable(field));
        }
        let variants = self.variants.iter();
        if variants
            .clone()
            .any(|variant| variant.address.is_some() || variant.relay)
        {
            return Err(DescriptionError::NotApplicable("an address"));
        }
        Ok(())
    }
}

impl Variant {
    fn resolve_address(
        &mut self,
        addresses: &BTreeMap<String, SocketAddr>,
    ) -> Result<(), DescriptionError> {
        let Some(text) = &self.address else {
            return Ok(());
        };
        if let Some(name) = text.strip_prefix(PLACEHOLDER_PREFIX) {
            let given = addresses.get(name);
            let given = given.ok_or_else(|| DescriptionError::AddressNotGiven(name.to_owned()))?;
            self.address = Some(given.to_string());
            return Ok(());
        }
        match text.parse::<SocketAddr>() {
            Ok(_) => Ok(()),
            Err(_) => Err(DescriptionError::InvalidAddress(text.clone())),
        }
    }

    /// Returns the address; `None` when there is none or a `$name` is not yet replaced.
    pub fn socket_address(&self) -> Option<SocketAddr> {
        self.address.as_ref()?.parse().ok()
    }
}
