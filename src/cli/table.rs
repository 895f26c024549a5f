/// Text table with a line of headings and columns separated by two spaces.
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(super) fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(ToString::to_string).collect();
        Self {
            rows: vec![headings],
        }
    }

    pub(super) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    pub(super) fn render(&self) -> String {
        let widths = self.widths();
        let lines = self.rows.iter().map(|row| line(row, &widths));
        lines.collect::<Vec<_>>().join("\n")
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row
        .iter()
        .zip(widths)
        .map(|(cell, &width)| format!("{cell:<width$}"));
    let line = cells.collect::<Vec<_>>().join("  ");
    line.trim_end().to_owned()
}

/// Formats an optional value as a cell; `-` if it is absent.
pub(super) fn cell<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
