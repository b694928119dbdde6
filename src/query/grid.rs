//! Renders rows of text as aligned columns.

use std::fmt;

/// The separator of columns.
const GAP: &str = "  ";

/// A table of text. Columns of numbers are aligned to the right, others to the left.
#[derive(Debug, Default)]
pub struct Grid {
    rows: Vec<Vec<String>>,
}

impl Grid {
    /// Creates a table with a header row.
    pub fn new<const N: usize>(header: [&str; N]) -> Self {
        let header = header.map(str::to_owned).to_vec();
        Self { rows: vec![header] }
    }

    /// Adds a row. Control characters, which a terminal would interpret, are replaced.
    pub fn push<const N: usize>(&mut self, row: [String; N]) {
        let row = row.map(|cell| cell.replace(char::is_control, "?"));
        self.rows.push(row.to_vec());
    }

    fn columns(&self) -> Vec<Column> {
        let count = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        (0..count).map(|column| self.column(column)).collect()
    }

    fn column(&self, column: usize) -> Column {
        let cells = || self.rows.iter().filter_map(move |row| row.get(column));
        Column {
            width: cells().map(|cell| cell.chars().count()).max().unwrap_or(0),
            align_right: cells().skip(1).all(|cell| is_number(cell)),
        }
    }
}

struct Column {
    width: usize,
    align_right: bool,
}

impl Column {
    fn align(&self, cell: &str) -> String {
        match self.align_right {
            true => format!("{cell:>width$}", width = self.width),
            false => format!("{cell:<width$}", width = self.width),
        }
    }
}

impl fmt::Display for Grid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.columns();
        for row in &self.rows {
            let cells = columns.iter().zip(row);
            let cells: Vec<_> = cells.map(|(column, cell)| column.align(cell)).collect();
            writeln!(f, "{}", cells.join(GAP).trim_end())?;
        }
        Ok(())
    }
}

/// Returns whether a cell holds a number, with or without a unit of time.
fn is_number(cell: &str) -> bool {
    let unit = cell.replace(|c: char| c.is_ascii_digit() || c == '.', "");
    matches!(unit.as_str(), "" | "-" | "us" | "ms" | "s" | "hm")
}
