//! Formats a report as a human-readable table.

use std::fmt;

use super::audit::Finding;
use super::tally::Quantiles;
use super::tally::Report;
use super::tally::Row;

/// Microseconds per millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Displays a report as a table.
pub struct Table<'a>(pub &'a Report);

impl fmt::Display for Table<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = self.0;
        write_heading(f)?;
        for row in &report.rows {
            write_row(f, row)?;
        }
        let (seconds, rate) = (report.seconds, report.answered_per_second);
        writeln!(f, "\n{rate:.0} answered/s over {seconds:.1} s")?;
        write_cache_share(f, &report.rows)?;
        for (failure, count) in &report.failures {
            writeln!(f, "attempts that met {failure}: {count}")?;
        }
        if let Some(finding) = &report.finding {
            write_purchases(f, finding)?;
            let (overloads, cancelled) = (report.overloads, report.cancelled);
            writeln!(
                f,
                "upstreams: {overloads} overloads while cold, {cancelled} cancelled"
            )?;
        }
        writeln!(f, "sound: {}", report.is_sound())
    }
}

fn write_heading(f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "{:<9}{:<12}{:>8}", "kind", "class", "calls")?;
    write!(
        f,
        "{:>9}{:>8}{:>8}{:>6}",
        "answered", "not-run", "unknown", "wrong"
    )?;
    write!(f, "{:>9}{:>9}{:>9}", "p50 ms", "p90 ms", "p99 ms")?;
    writeln!(f, "{:>10}{:>9}{:>9}", "max ms", "first50", "first99")
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &Row) -> fmt::Result {
    let (kind, class) = (row.kind.to_string(), row.class.to_string());
    write!(f, "{kind:<9}{class:<12}{:>8}", row.calls)?;
    write!(f, "{:>9}{:>8}{:>8}", row.answered, row.not_run, row.unknown)?;
    write!(f, "{:>6}", row.wrong)?;
    let Quantiles {
        p50_us,
        p90_us,
        p99_us,
        max_us,
    } = row.total;
    write!(
        f,
        "{:>9.2}{:>9.2}{:>9.2}",
        ms(p50_us),
        ms(p90_us),
        ms(p99_us)
    )?;
    write!(f, "{:>10.2}", ms(max_us))?;
    writeln!(
        f,
        "{:>9.2}{:>9.2}",
        ms(row.first_byte.p50_us),
        ms(row.first_byte.p99_us)
    )
}

fn write_cache_share(f: &mut fmt::Formatter<'_>, rows: &[Row]) -> fmt::Result {
    let prompt: u64 = rows.iter().map(|row| row.prompt_tokens).sum();
    let cached: u64 = rows.iter().map(|row| row.cached_tokens).sum();
    match (cached * 1_000).checked_div(prompt) {
        Some(share) => writeln!(f, "prompt tokens cached: {}.{} %", share / 10, share % 10),
        None => Ok(()),
    }
}

fn write_purchases(f: &mut fmt::Formatter<'_>, finding: &Finding) -> fmt::Result {
    let Finding {
        purchases,
        ran_once,
        doubled,
        lost,
        untrue,
    } = finding;
    writeln!(
        f,
        "purchases: {purchases}, ran once {ran_once}, doubled {doubled}, lost {lost}, \
         untrue not-run {untrue}"
    )
}

fn ms(us: u64) -> f64 {
    u32::try_from(us).map_or(f64::INFINITY, f64::from) / US_PER_MS
}
