//! Checks docs/CAPACITY.md: each row has one of the four marks, calculations are correct, and ratios follow
//! from the figures that they relate.

const PAGE: &str = include_str!("../docs/CAPACITY.md");
const MARKS: [&str; 4] = ["measured", "worked out", "assumed", "not known"];

/// A row of a table that has a `mark` column: the row's cells by column name.
struct Row {
    line: usize,
    cells: Vec<(&'static str, &'static str)>,
}

impl Row {
    fn cell(&self, name: &str) -> Option<&'static str> {
        self.cells.iter().find(|(head, _)| *head == name).map(|(_, cell)| *cell)
    }
}

fn cells(line: &'static str) -> Option<Vec<&'static str>> {
    let inner = line.strip_prefix('|')?.strip_suffix('|')?;
    Some(inner.split('|').map(str::trim).collect())
}

fn rows() -> Vec<Row> {
    let (mut head, mut rows) = (Vec::new(), Vec::new());
    for (line, text) in PAGE.lines().enumerate() {
        let Some(cells) = cells(text) else {
            head.clear();
            continue;
        };
        if head.is_empty() {
            head = cells;
        } else if !cells[0].starts_with("---") {
            assert_eq!(cells.len(), head.len(), "line {}: as many cells as the head has", line + 1);
            rows.push(Row { line: line + 1, cells: head.iter().copied().zip(cells).collect() });
        }
    }
    rows.retain(|row| row.cell("mark").is_some());
    rows
}

fn number(word: &str) -> Option<f64> {
    word.trim_end_matches([';', ':', ',', '.']).replace(',', "").parse().ok()
}

/// Evaluates products and quotients from left to right, then sums; `None` if a word is not a number.
fn evaluate(expression: &str) -> Option<f64> {
    let (mut total, mut term, mut sign, mut operator) = (0.0, 1.0, 1.0, "x");
    for word in expression.split_whitespace() {
        match word {
            "x" | "/" => operator = word,
            "+" | "-" => {
                total += sign * term;
                (term, operator, sign) = (1.0, "x", if word == "+" { 1.0 } else { -1.0 });
            }
            _ if operator == "x" => term *= number(word)?,
            _ => term /= number(word)?,
        }
    }
    Some(total + sign * term)
}

/// The first number after the last ` = ` of a cell, or of the whole cell if it has none.
fn stated_figure(cell: &str) -> Option<f64> {
    cell.rsplit(" = ").next()?.split_whitespace().find_map(number)
}

/// Whether a stated figure equals the computed one up to rounding: within a fiftieth, or within half of the
/// last digit of small figures.
fn is_within_rounding(stated: f64, computed: f64) -> bool {
    (stated - computed).abs() <= (computed.abs() / 50.0).max(0.0051)
}

/// Reports all errors at once, so that the page can be corrected in one go.
fn assert_no_errors(errors: &[String]) {
    assert!(errors.is_empty(), "docs/CAPACITY.md\n{}", errors.join("\n"));
}

#[test]
fn capacity_row_has_known_mark_and_a_run_or_a_sum() {
    let rows = rows();
    assert!(rows.len() > 100, "only {} rows with a mark found in the page's tables", rows.len());
    let mut errors = Vec::new();
    for row in &rows {
        let mark = row.cell("mark").expect("rows without a mark are filtered out");
        if !MARKS.contains(&mark) {
            errors.push(format!("line {}: mark {mark:?} is not one of {MARKS:?}", row.line));
        }
        // An assumed or unknown figure has no run and may have no calculation.
        let cells_with_digits =
            row.cells.iter().filter(|(_, cell)| cell.chars().any(|c| c.is_ascii_digit())).count();
        let has_source = ["from", "by"].iter().filter_map(|name| row.cell(name)).any(|cell| !cell.is_empty());
        if mark == "measured" && (cells_with_digits == 0 || !has_source)
            || mark == "worked out" && cells_with_digits == 0 && !has_source
        {
            errors.push(format!("line {}: marked {mark}, but without a run or a calculation", row.line));
        }
    }
    assert_no_errors(&errors);
}

#[test]
fn capacity_sum_equals_its_stated_result() {
    let (mut calculations, mut errors) = (0, Vec::new());
    for row in rows() {
        for (head, cell) in &row.cells {
            let Some((expression, result)) = cell.split_once(" = ") else { continue };
            let Some(computed) = evaluate(expression) else { continue };
            calculations += 1;
            let stated = result.split_whitespace().find_map(number);
            if !stated.is_some_and(|stated| is_within_rounding(stated, computed)) {
                errors.push(format!("line {}, {head}: {expression} is {computed}, not {result}", row.line));
            }
        }
    }
    assert_no_errors(&errors);
    assert!(calculations > 60, "only {calculations} calculations found");
}

#[test]
fn capacity_ratio_is_need_over_budget() {
    let (mut ratios, mut errors) = (0, Vec::new());
    for row in rows() {
        let cells = (row.cell("need"), row.cell("budget"), row.cell("ratio"));
        let (Some(need), Some(budget), Some(ratio)) = cells else { continue };
        let Some(ratio) = number(ratio) else { continue };
        ratios += 1;
        let figures = stated_figure(need).zip(stated_figure(budget));
        if !figures.is_some_and(|(need, budget)| is_within_rounding(ratio, need / budget)) {
            errors.push(format!("line {}: {need} divided by {budget} is not {ratio}", row.line));
        }
    }
    assert_no_errors(&errors);
    assert!(ratios > 40, "only {ratios} ratios found");
}

#[test]
fn capacity_ranking_is_ordered_by_ratio() {
    let line_rank_ratio =
        |row: &Row| Some((row.line, number(row.cell("rank")?)?, number(row.cell("ratio")?)?));
    let ranked: Vec<(usize, f64, f64)> = rows().iter().filter_map(line_rank_ratio).collect();
    assert!(ranked.len() > 5, "only {} ranked rows found", ranked.len());
    for (before, (line, rank, ratio)) in ranked.iter().zip(&ranked[1..]) {
        assert!(before.1 < *rank && before.2 >= *ratio, "line {line}: out of order by rank or ratio");
    }
}
