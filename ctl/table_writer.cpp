#include "ctl/table_writer.h"

#include <algorithm>
#include <ostream>

namespace lycheetrestle::ctl {

namespace {

bool isNumber(const std::string &Cell) {
  return !Cell.empty() &&
         Cell.find_first_not_of("0123456789.%") == std::string::npos;
}

// Counts code points, so that names outside ASCII stay aligned.
std::size_t widthOf(const std::string &Cell) {
  return std::count_if(Cell.begin(), Cell.end(),
                       [](unsigned char C) { return (C & 0xc0) != 0x80; });
}

void writeCells(std::ostream &Out, const std::vector<std::string> &Cells,
                const std::vector<std::size_t> &Widths,
                const std::vector<bool> &Numeric) {
  std::string Line;
  for (std::size_t I = 0; I < Cells.size(); ++I) {
    std::string Padding(Widths[I] - widthOf(Cells[I]), ' ');
    if (I > 0)
      Line += "  ";
    Line += Numeric[I] ? Padding + Cells[I] : Cells[I] + Padding;
  }
  Line.erase(Line.find_last_not_of(' ') + 1);
  Out << Line << '\n';
}

} // namespace

table_writer::table_writer(std::vector<std::string> Header)
    : Header(std::move(Header)) {}

void table_writer::addRow(std::vector<std::string> Cells) {
  Cells.resize(Header.size());
  for (auto &Cell : Cells)
    if (Cell.empty())
      Cell = "-";
  Rows.push_back(std::move(Cells));
}

void table_writer::write(std::ostream &Out) const {
  std::vector<std::size_t> Widths;
  std::vector<bool> Numeric;
  for (std::size_t I = 0; I < Header.size(); ++I) {
    Widths.push_back(widthOf(Header[I]));
    bool AnyNumber = false, AllNumbers = true;
    for (const auto &Row : Rows) {
      Widths[I] = std::max(Widths[I], widthOf(Row[I]));
      AnyNumber = AnyNumber || isNumber(Row[I]);
      AllNumbers = AllNumbers && (isNumber(Row[I]) || Row[I] == "-");
    }
    Numeric.push_back(AnyNumber && AllNumbers);
  }
  writeCells(Out, Header, Widths, Numeric);
  for (const auto &Row : Rows)
    writeCells(Out, Row, Widths, Numeric);
}

} // namespace lycheetrestle::ctl
