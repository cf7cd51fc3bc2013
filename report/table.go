package report

import (
	"strings"
	"unicode/utf8"
)

// Column is one column of a table.
type Column struct {
	Title string
	// Right aligns the column to the right, for numbers. Such a column is
	// never shortened.
	Right bool
	// ShortenLast means that the column is shortened only if no column without
	// ShortenLast can be shortened any further.
	ShortenLast bool
}

// Cell is one value of a table.
type Cell struct {
	Text  string
	Style Style
}

// Table is a list of rows with column titles. If the columns are too wide
// together, the widest ones are shortened first.
type Table struct {
	Columns []Column
	rows    [][]Cell
}

// columnGap is the number of spaces between two columns.
const columnGap = 1

// minTextWidth is the smallest width of a shortened column.
const minTextWidth = 4

// Add appends a row of cells in the style Plain, one for each column.
func (t *Table) Add(texts ...string) {
	row := make([]Cell, len(texts))
	for i, text := range texts {
		row[i] = Cell{Text: text}
	}
	t.AddCells(row...)
}

// AddCells appends a row of cells, one for each column.
func (t *Table) AddCells(cells ...Cell) { t.rows = append(t.rows, cells) }

// Empty reports whether the table has no rows.
func (t *Table) Empty() bool { return len(t.rows) == 0 }

// Table writes a table.
func (p *Printer) Table(t *Table) {
	widths := t.widths(p.width)
	titles := make([]Cell, len(t.Columns))
	for i, c := range t.Columns {
		titles[i] = Cell{Text: c.Title, Style: Faint}
	}
	p.writeRow(t, titles, widths)
	for _, row := range t.rows {
		p.writeRow(t, row, widths)
	}
}

func (p *Printer) writeRow(t *Table, cells []Cell, widths []int) {
	parts := make([]string, len(cells))
	for i, c := range cells {
		text := truncate(c.Text, widths[i])
		if t.Columns[i].Right {
			text = padLeft(text, widths[i])
		} else {
			text = pad(text, widths[i])
		}
		parts[i] = p.styled(c.Style, text)
	}
	p.writeLine(strings.Join(parts, strings.Repeat(" ", columnGap)))
}

// widths returns the widths of the columns. Each starts with the width of its
// longest cell; then the widest text columns are shortened until the table fits
// into total columns or nothing more can be shortened.
func (t *Table) widths(total int) []int {
	widths := make([]int, len(t.Columns))
	for i, c := range t.Columns {
		widths[i] = utf8.RuneCountInString(c.Title)
		for _, row := range t.rows {
			widths[i] = max(widths[i], utf8.RuneCountInString(row[i].Text))
		}
	}
	for sum(widths)+columnGap*(len(widths)-1) > total {
		widest := t.widestText(widths, false)
		if widest < 0 {
			widest = t.widestText(widths, true)
		}
		if widest < 0 {
			break
		}
		widths[widest]--
	}
	return widths
}

// widestText returns the index of the widest column that may be shortened, or
// -1. It considers only the columns whose ShortenLast has the given value.
func (t *Table) widestText(widths []int, shortenLast bool) int {
	widest := -1
	for i, c := range t.Columns {
		if c.Right || c.ShortenLast != shortenLast || widths[i] <= minTextWidth {
			continue
		}
		if widest < 0 || widths[i] > widths[widest] {
			widest = i
		}
	}
	return widest
}

func sum(ns []int) int {
	total := 0
	for _, n := range ns {
		total += n
	}
	return total
}
