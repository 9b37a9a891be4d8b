//! Tests that a tenant's operations stay within the bound under any interleaving of grants, late
//! use of tokens, restarts and changes of the limit, and that operations within the limit are
//! granted.

use std::collections::BTreeSet;
use std::time::Duration;

use hookpoint_coordination::serving::homes::HomeCandidate;
use hookpoint_coordination::serving::quota::{
    GrantLimit, MIN_RESTART_TIME, OperationLimit, QuotaBounds, TOKEN_LIFE, TokenAnswer,
    TokenBucket, TokenHolder,
};
use hookpoint_coordination::serving::token_holders::{MAX_HOLDERS, choose_token_holders};
use hookpoint_state::{TenantName, Timestamp, ZoneName};
use quickcheck::{Arbitrary, Gen, quickcheck};

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    overshoot_milli: 100,
    slack: 20,
};

fn limit(rate: u64, burst: u64) -> OperationLimit {
    OperationLimit {
        rate_milli: rate * 1_000,
        burst,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns the number of operations that may run in any window.
fn allowed(bounds: QuotaBounds, limit: OperationLimit) -> u64 {
    let seconds = bounds.window.as_secs();
    let base = limit.rate_milli * seconds / 1_000 + limit.burst;
    base * (1_000 + bounds.overshoot_milli) / 1_000 + bounds.slack
}

/// Returns the maximum number of `times` within one window.
fn max_in_window(times: &mut [u64], window: Duration) -> usize {
    times.sort_unstable();
    let length = u64::try_from(window.as_micros()).unwrap();
    let mut first = 0;
    let mut most = 0;
    for last in 0..times.len() {
        while times[last] - times[first] > length {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

/// An event that affects the holders of one tenant's tokens.
#[derive(Clone, Debug)]
enum Step {
    /// A holder is asked for tokens `times` times, and each token is used this late.
    Ask {
        holder: usize,
        times: u8,
        max_wait_ms: u16,
        late_permille: u16,
    },
    /// Time passes.
    Pass { millis: u16 },
    /// The process of a holder ends and is replaced as soon as possible; no other holder is asked
    /// in the meantime.
    Restart { holder: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let holder = usize::arbitrary(g) % MAX_HOLDERS;
        match u8::arbitrary(g) % 8 {
            0 => Step::Restart { holder },
            1..=3 => Step::Pass {
                millis: u16::arbitrary(g) % 1_500,
            },
            _ => Step::Ask {
                holder,
                times: u8::arbitrary(g),
                max_wait_ms: u16::arbitrary(g) % 200,
                late_permille: u16::arbitrary(g) % 1_001,
            },
        }
    }
}

/// Applies the steps and returns the times at which operations ran. A token is used at most
/// `token_life` after it was granted.
fn run_steps(steps: &[Step], limit: GrantLimit, token_life: Duration) -> Vec<u64> {
    let tenant = TenantName::new("clinic");
    let holders = limit.holders(MAX_HOLDERS);
    let share = limit.share(holders);
    let mut now = at(1_000);
    let mut granting: Vec<(TokenHolder, Timestamp)> = (0..holders)
        .map(|_| (TokenHolder::default(), at(0)))
        .collect();
    let mut ran = Vec::new();
    for step in steps {
        match step {
            Step::Pass { millis } => now = now + Duration::from_millis(u64::from(*millis)),
            Step::Restart { holder } => {
                now = now + MIN_RESTART_TIME;
                granting[holder % holders] = (TokenHolder::default(), now);
            }
            Step::Ask {
                holder,
                times,
                max_wait_ms,
                late_permille,
            } => {
                let (tokens, from) = &mut granting[holder % holders];
                let max_wait = Duration::from_millis(u64::from(*max_wait_ms));
                for _ in 0..*times {
                    let answer = tokens.take(&tenant, share, *from, now, max_wait);
                    if let TokenAnswer::Granted { after_us } = answer {
                        let late = token_life * u32::from(*late_permille) / 1_000;
                        let used = now + Duration::from_micros(after_us) + late;
                        ran.push(used.0);
                    }
                }
            }
        }
    }
    ran
}

quickcheck! {
    fn no_window_holds_more_than_is_allowed(steps: Vec<Step>, rate: u8, burst: u8) -> bool {
        let configured = limit(u64::from(rate), u64::from(burst));
        let mut ran = run_steps(&steps, BOUNDS.grant_limit(configured), TOKEN_LIFE);
        let most = max_in_window(&mut ran, BOUNDS.window);
        u64::try_from(most).unwrap() <= allowed(BOUNDS, configured)
    }

    fn the_bound_holds_whatever_slack_is_allowed(
        steps: Vec<Step>, rate: u8, burst: u8, overshoot: u8, slack: u8
    ) -> bool {
        let bounds = QuotaBounds {
            window: Duration::from_secs(2),
            overshoot_milli: u64::from(overshoot),
            slack: u64::from(slack),
        };
        let configured = limit(u64::from(rate), u64::from(burst));
        let mut ran = run_steps(&steps, bounds.grant_limit(configured), TOKEN_LIFE);
        let most = max_in_window(&mut ran, bounds.window);
        u64::try_from(most).unwrap() <= allowed(bounds, configured)
    }
}

/// Tokens are requested from full buckets without a pause for a window plus the validity of a
/// token. The tokens granted first are used as late as possible, all at the same time.
fn worst_case(grant_limit: GrantLimit, token_life: Duration) -> usize {
    const PAUSE_MS: u16 = 10;
    let mut steps = vec![Step::Pass { millis: 60_000 }];
    let mut passed = Duration::ZERO;
    while passed < token_life + BOUNDS.window {
        let left = token_life.saturating_sub(passed).as_millis() * 1_000 / token_life.as_millis();
        steps.extend((0..MAX_HOLDERS).map(|holder| Step::Ask {
            holder,
            times: 250,
            max_wait_ms: 0,
            late_permille: u16::try_from(left).unwrap(),
        }));
        steps.push(Step::Pass { millis: PAUSE_MS });
        passed += Duration::from_millis(u64::from(PAUSE_MS));
    }
    let mut ran = run_steps(&steps, grant_limit, token_life);
    max_in_window(&mut ran, BOUNDS.window)
}

#[test]
fn the_worst_case_uses_most_of_what_is_allowed_and_no_more() {
    for (rate, burst) in [(7, 7), (45, 45), (187, 187), (100, 10)] {
        let configured = limit(rate, burst);
        let most = worst_case(BOUNDS.grant_limit(configured), TOKEN_LIFE);
        let most = u64::try_from(most).unwrap();
        let bound = allowed(BOUNDS, configured);
        assert!(most <= bound, "{rate}: {most} of {bound}");
        assert!(most * 100 >= bound * 85, "{rate}: {most} of {bound}");
    }
}

/// Negative control: tokens that are valid for longer than the limit was calculated for.
#[test]
fn tokens_with_longer_validity_break_the_bound() {
    let configured = limit(187, 187);
    let most = worst_case(BOUNDS.grant_limit(configured), TOKEN_LIFE * 4);
    assert!(u64::try_from(most).unwrap() > allowed(BOUNDS, configured));
}

/// Negative control: holders that each grant the whole limit.
#[test]
fn holders_that_do_not_divide_the_limit_break_the_bound() {
    let configured = limit(187, 187);
    let whole = BOUNDS.grant_limit(configured);
    let undivided = GrantLimit {
        rate: whole.rate * 3,
        burst: whole.burst * 3,
    };
    let most = worst_case(undivided, TOKEN_LIFE);
    assert!(u64::try_from(most).unwrap() > allowed(BOUNDS, configured));
}

#[test]
fn a_tenant_within_its_limit_is_granted_all() {
    let grant_limit = BOUNDS.grant_limit(limit(10, 10));
    assert!(grant_limit.rate >= 10_000_000, "{grant_limit:?}");
    assert!(grant_limit.burst >= 10_000_000, "{grant_limit:?}");
    let mut bucket = TokenBucket::new(grant_limit, at(0));
    for number in 0..600 {
        let burst = if number % 50 == 0 { 10 } else { 1 };
        let now = at(10_000 + number * 100 + number / 50 * 1_000);
        for _ in 0..burst {
            let answer = bucket.take(now, Duration::ZERO);
            assert_eq!(answer, TokenAnswer::Granted { after_us: 0 }, "{number}");
        }
    }
}

#[test]
fn over_the_limit_the_answer_states_when_a_token_is_available() {
    let grant_limit = GrantLimit {
        rate: 10_000_000,
        burst: 2_000_000,
    };
    let mut bucket = TokenBucket::new(grant_limit, at(0));
    let zero = Duration::ZERO;
    let max_wait = Duration::from_millis(150);
    let exhausted = |millis: u64| TokenAnswer::Exhausted {
        retry_after_us: millis * 1_000 + 1,
    };
    let granted = |after_us| TokenAnswer::Granted { after_us };
    let cases = [
        (0, zero, granted(0)),
        (0, zero, granted(0)),
        (0, zero, exhausted(100)),
        (50, zero, exhausted(50)),
        (100, zero, granted(0)),
        (100, max_wait, granted(100_001)),
        (100, max_wait, exhausted(200)),
        (1_000, zero, granted(0)),
        (1_000, zero, granted(0)),
        (1_000, zero, exhausted(100)),
    ];
    for (number, (millis, max_wait, expected)) in cases.into_iter().enumerate() {
        assert_eq!(bucket.take(at(millis), max_wait), expected, "{number}");
    }
}

#[test]
fn a_lowered_limit_drops_tokens_and_a_raised_one_adds_none() {
    let large = BOUNDS.grant_limit(limit(100, 100));
    let small = BOUNDS.grant_limit(limit(1, 1));
    let mut bucket = TokenBucket::new(large, at(0));
    bucket.set_limit(at(60_000), small);
    let count = |bucket: &mut TokenBucket, now: Timestamp| {
        let granted = |_: &u32| {
            let answer = bucket.take(now, Duration::ZERO);
            answer == TokenAnswer::Granted { after_us: 0 }
        };
        (0..1_000).take_while(granted).count()
    };
    let after_lowering = count(&mut bucket, at(60_000));
    assert_eq!(
        u64::try_from(after_lowering).unwrap(),
        small.burst / 1_000_000
    );
    bucket.set_limit(at(60_000), large);
    assert_eq!(count(&mut bucket, at(60_000)), 0);
}

#[test]
fn without_any_slack_less_than_the_limit_is_granted() {
    let exact = QuotaBounds {
        window: Duration::from_secs(5),
        overshoot_milli: 0,
        slack: 0,
    };
    for (rate, burst) in [(0, 0), (1, 0), (7, 0), (100, 3), (100, 100)] {
        let grant_limit = exact.grant_limit(limit(rate, burst));
        let span = u64::try_from((exact.window + TOKEN_LIFE).as_micros()).unwrap();
        let most = grant_limit.rate * span / 1_000_000 + grant_limit.burst;
        assert!(most <= (rate * 5 + burst) * 1_000_000, "{grant_limit:?}");
    }
}

fn fleet() -> Vec<HomeCandidate> {
    (0..60)
        .map(|number| HomeCandidate {
            node: format!("node-{number}"),
            zone: ZoneName::new(format!("zone-{}", number % 6)),
            bandwidth_mbps: 10,
        })
        .collect()
}

fn region(zone: &ZoneName) -> Option<String> {
    let number: usize = zone.as_str().strip_prefix("zone-")?.parse().ok()?;
    Some(format!("region-{}", number % 3))
}

#[test]
fn holders_are_spread_over_zones_and_change_only_with_their_own_nodes() {
    let fleet = fleet();
    let without_last = &fleet[..59];
    let mut moved = 0;
    for number in 0..100 {
        let tenant = TenantName::new(format!("tenant-{number}"));
        let chosen = choose_token_holders(&tenant, &fleet, region, 3);
        let regions: BTreeSet<_> = chosen.iter().map(|holder| region(&holder.zone)).collect();
        assert_eq!(regions.len(), 3, "{chosen:?}");
        let held = chosen.iter().any(|holder| holder.node == "node-59");
        let again = choose_token_holders(&tenant, without_last, region, 3);
        assert_eq!(chosen != again, held, "{chosen:?} {again:?}");
        moved += usize::from(held);
        let one_region = |_: &ZoneName| Some("all".to_owned());
        let near = choose_token_holders(&tenant, &fleet, one_region, 3);
        let zones: BTreeSet<_> = near.iter().map(|holder| &holder.zone).collect();
        assert_eq!(zones.len(), 3, "{near:?}");
    }
    assert!((1..=15).contains(&moved), "{moved} of 100");
    let few = choose_token_holders(&TenantName::new("t"), &fleet[..2], region, 3);
    assert_eq!(few.len(), 2);
}
