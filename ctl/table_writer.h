#ifndef LYCHEETRESTLE_CTL_TABLE_WRITER_H
#define LYCHEETRESTLE_CTL_TABLE_WRITER_H

#include <iosfwd>
#include <string>
#include <vector>

namespace lycheetrestle::ctl {

/// Writes aligned columns. Columns that hold only numbers are aligned to the
/// right; an empty cell is shown as `-`, so that every row has the same number
/// of words for scripts.
class table_writer {
public:
  /// \param Header names of the columns.
  explicit table_writer(std::vector<std::string> Header);

  /// \param Cells the row; missing cells are empty, surplus ones are dropped.
  void addRow(std::vector<std::string> Cells);

  /// Writes the header and all rows.
  void write(std::ostream &Out) const;

private:
  std::vector<std::string> Header;
  std::vector<std::vector<std::string>> Rows;
};

} // namespace lycheetrestle::ctl

#endif
