//! docs/CAPACITY.md keeps its word: no row without one of the four marks, sums that add up, ratios that follow from them.

const PAGE: &str = include_str!("../docs/CAPACITY.md");
const MARKS: [&str; 4] = ["measured", "worked out", "assumed", "not known"];

/// A row of a table whose head has a mark: its cells by the names in the head.
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

/// Products and quotients from left to right, then sums; nothing where a word is no number.
fn evaluate(sum: &str) -> Option<f64> {
    let (mut whole, mut term, mut sign, mut operator) = (0.0, 1.0, 1.0, "x");
    for word in sum.split_whitespace() {
        match word {
            "x" | "/" => operator = word,
            "+" | "-" => {
                whole += sign * term;
                (term, operator, sign) = (1.0, "x", if word == "+" { 1.0 } else { -1.0 });
            }
            _ if operator == "x" => term *= number(word)?,
            _ => term /= number(word)?,
        }
    }
    Some(whole + sign * term)
}

/// The first number of what stands after the sum, its unit after it.
fn figure(need: &str) -> Option<f64> {
    need.rsplit(" = ").next()?.split_whitespace().find_map(number)
}

/// Figures are written short: within a fiftieth, or half of the last digit of small ones.
fn is_near(told: f64, worth: f64) -> bool {
    (told - worth).abs() <= (worth.abs() / 50.0).max(0.0051)
}

/// All that is wrong at once: a page is mended in one go.
fn assert_none_wrong(wrong: &[String]) {
    assert!(wrong.is_empty(), "docs/CAPACITY.md\n{}", wrong.join("\n"));
}

#[test]
fn capacity_row_has_known_mark_and_a_run_or_a_sum() {
    let rows = rows();
    assert!(rows.len() > 100, "{} rows: the page's tables are not found", rows.len());
    let mut wrong = Vec::new();
    for row in &rows {
        let mark = row.cell("mark").expect("kept for it");
        if !MARKS.contains(&mark) {
            wrong.push(format!("line {}: {mark:?} is none of {MARKS:?}", row.line));
        }
        // A figure that somebody has to say, or that nobody can, has no run and may have no sum.
        let told = row.cells.iter().filter(|(_, cell)| cell.chars().any(|c| c.is_ascii_digit())).count();
        let backed = ["from", "by"].iter().filter_map(|name| row.cell(name)).any(|cell| !cell.is_empty());
        if mark == "measured" && (told == 0 || !backed) || mark == "worked out" && told == 0 && !backed {
            wrong.push(format!("line {}: {mark}, and neither a run nor a sum", row.line));
        }
    }
    assert_none_wrong(&wrong);
}

#[test]
fn capacity_sum_equals_its_stated_result() {
    let (mut sums, mut wrong) = (0, Vec::new());
    for row in rows() {
        for (head, cell) in &row.cells {
            let Some((sum, rest)) = cell.split_once(" = ") else { continue };
            let Some(worth) = evaluate(sum) else { continue };
            sums += 1;
            let told = rest.split_whitespace().find_map(number);
            if !told.is_some_and(|told| is_near(told, worth)) {
                wrong.push(format!("line {}, {head}: {sum} is {worth}, not {rest}", row.line));
            }
        }
    }
    assert_none_wrong(&wrong);
    assert!(sums > 60, "only {sums} sums are found");
}

#[test]
fn capacity_ratio_is_need_over_budget() {
    let (mut ratios, mut wrong) = (0, Vec::new());
    for row in rows() {
        let cells = (row.cell("need"), row.cell("budget"), row.cell("ratio"));
        let (Some(need), Some(budget), Some(ratio)) = cells else { continue };
        let Some(ratio) = number(ratio) else { continue };
        ratios += 1;
        let of = figure(need).zip(figure(budget));
        if !of.is_some_and(|(need, budget)| is_near(ratio, need / budget)) {
            wrong.push(format!("line {}: {need} over {budget} is not {ratio}", row.line));
        }
    }
    assert_none_wrong(&wrong);
    assert!(ratios > 40, "only {ratios} ratios are found");
}

#[test]
fn capacity_ranking_is_ordered_by_ratio() {
    let of = |row: &Row| Some((row.line, number(row.cell("rank")?)?, number(row.cell("ratio")?)?));
    let ranked: Vec<(usize, f64, f64)> = rows().iter().filter_map(of).collect();
    assert!(ranked.len() > 5, "no ranking");
    for (before, (line, rank, ratio)) in ranked.iter().zip(&ranked[1..]) {
        assert!(before.1 < *rank && before.2 >= *ratio, "line {line}: ranked below what is less");
    }
}
