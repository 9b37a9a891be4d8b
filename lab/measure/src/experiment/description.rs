//! The description of an experiment.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_workload::load::Mix;
use serde::Deserialize;
use thiserror::Error;

/// Most runs of one experiment.
const MAXIMUM_RUNS: usize = 500;
/// Most nodes of one run.
const MAXIMUM_NODES: usize = 500;
/// Most sessions of one run.
const MAXIMUM_SESSIONS: usize = 10_000;
/// Mark of an address that is given on the command line.
const PLACEHOLDER: char = '$';

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Load on an address; the sizes are sessions.
    Load,
    /// Hollow nodes; the sizes are nodes.
    Scale,
}

/// A variant to compare with the others.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the report.
    pub name: String,
    /// Load: address as `ip:port`, or `$name` for one given on the command line.
    pub address: Option<String>,
    /// Load: put a plain relay in front of the address.
    #[serde(default)]
    pub relay: bool,
    /// Scale: groups that each node uses.
    pub groups: Option<usize>,
    /// Scale: databases for each node.
    pub databases_per_node: Option<usize>,
}

/// An experiment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Description {
    /// Title of the report.
    pub title: String,
    /// What is measured.
    pub kind: Kind,
    /// Sizes, ascending.
    pub sizes: Vec<usize>,
    /// Runs of each variant at each size.
    pub repeats: usize,
    /// Seconds of each measurement.
    pub seconds: u64,
    /// Seed of all chance.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Load: `messaging`, `metering`, `reads`, `writes` or `trivial`.
    pub mix: Option<String>,
    /// Load: database, which names the group at a proxy.
    pub database: Option<String>,
    /// Load: requests a second; as fast as answers come where none is given.
    pub rate: Option<f64>,
    /// Scale: zones.
    pub zones: Option<usize>,
    /// Variants; ratios are to the first one.
    pub variants: Vec<Variant>,
}

fn default_seed() -> u64 {
    1
}

/// Why a description cannot be run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DescriptionError {
    /// No TOML, or fields that there are not.
    #[error("the file cannot be read: {0}")]
    Toml(String),
    /// A list is empty or a number is zero.
    #[error("{0} must not be empty or zero")]
    Empty(&'static str),
    /// The sizes are not ascending.
    #[error("sizes must be ascending")]
    Sizes,
    /// Two variants have one name.
    #[error("there are two variants named {0}")]
    Twins(String),
    /// A number is too large.
    #[error("{what} must be at most {most}")]
    TooLarge {
        /// What is too large.
        what: &'static str,
        /// The bound.
        most: usize,
    },
    /// A field that the kind needs is missing.
    #[error("variant {variant} needs {field}")]
    Missing {
        /// The variant.
        variant: String,
        /// The field.
        field: &'static str,
    },
    /// A field does not go with the kind.
    #[error("{0} does not go with this kind of experiment")]
    Foreign(&'static str),
    /// There is no such mix.
    #[error("there is no mix {0}")]
    Mix(String),
    /// An address is none.
    #[error("{0} is no ip:port")]
    Address(String),
    /// An address should have been given on the command line.
    #[error("give the address {0} with --set")]
    NotSet(String),
}

/// Reads and checks a description. `addresses` are those given on the command line.
///
/// # Errors
/// The first [`DescriptionError`].
pub fn parse(
    text: &str,
    addresses: &BTreeMap<String, SocketAddr>,
) -> Result<Description, DescriptionError> {
    let mut description: Description =
        toml::from_str(text).map_err(|error| DescriptionError::Toml(error.message().to_owned()))?;
    description.check()?;
    for variant in &mut description.variants {
        variant.fill_in(addresses)?;
    }
    Ok(description)
}

impl Description {
    /// Time of each measurement.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// The mix of a load.
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
            return Err(DescriptionError::Empty(name));
        }
        if !self.sizes.is_sorted_by(|before, after| before < after) {
            return Err(DescriptionError::Sizes);
        }
        let mut names = BTreeSet::new();
        for variant in &self.variants {
            if !names.insert(&variant.name) {
                return Err(DescriptionError::Twins(variant.name.clone()));
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
            return Err(DescriptionError::Foreign("zones"));
        }
        if self.mix().is_none() {
            let name = self.mix.clone().unwrap_or_default();
            return Err(DescriptionError::Mix(name));
        }
        for variant in &self.variants {
            if variant.groups.is_some() || variant.databases_per_node.is_some() {
                return Err(DescriptionError::Foreign("groups"));
            }
            if variant.address.is_none() {
                return Err(DescriptionError::Missing {
                    variant: variant.name.clone(),
                    field: "an address",
                });
            }
        }
        Ok(())
    }

    fn check_scale(&self) -> Result<(), DescriptionError> {
        let foreign = [
            (self.mix.is_some(), "mix"),
            (self.database.is_some(), "database"),
            (self.rate.is_some(), "rate"),
        ];
        if let Some((_, field)) = foreign.iter().find(|(given, _)| *given) {
            return Err(DescriptionError::Foreign(field));
        }
        let strangers = self.variants.iter();
        if strangers
            .clone()
            .any(|variant| variant.address.is_some() || variant.relay)
        {
            return Err(DescriptionError::Foreign("an address"));
        }
        Ok(())
    }
}

impl Variant {
    fn fill_in(
        &mut self,
        addresses: &BTreeMap<String, SocketAddr>,
    ) -> Result<(), DescriptionError> {
        let Some(text) = &self.address else {
            return Ok(());
        };
        if let Some(name) = text.strip_prefix(PLACEHOLDER) {
            let given = addresses.get(name);
            let given = given.ok_or_else(|| DescriptionError::NotSet(name.to_owned()))?;
            self.address = Some(given.to_string());
            return Ok(());
        }
        match text.parse::<SocketAddr>() {
            Ok(_) => Ok(()),
            Err(_) => Err(DescriptionError::Address(text.clone())),
        }
    }

    /// The address, once filled in.
    pub fn socket_address(&self) -> Option<SocketAddr> {
        self.address.as_ref()?.parse().ok()
    }
}
