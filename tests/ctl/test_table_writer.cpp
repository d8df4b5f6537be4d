#include "ctl/table_writer.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace lycheetrestle::ctl;

namespace {

std::string render(const table_writer &Table) {
  std::ostringstream Out;
  Table.write(Out);
  return Out.str();
}

} // namespace

TEST_CASE("numbers are aligned to the right and text to the left") {
  table_writer Table({"NAME", "HOSTS", "NOTE"});
  Table.addRow({"gate", "12", "a"});
  Table.addRow({"back-office", "8", "long"});
  CHECK(render(Table) == "NAME         HOSTS  NOTE\n"
                         "gate            12  a\n"
                         "back-office      8  long\n");
}

// Scripts split rows at spaces and rely on a fixed number of columns.
TEST_CASE("empty and missing cells are shown as a dash") {
  table_writer Table({"A", "B", "C"});
  Table.addRow({"", "1"});
  Table.addRow({"x", "", "z", "surplus"});
  CHECK(render(Table) == "A  B  C\n-  1  -\nx  -  z\n");
}

TEST_CASE("names outside ASCII stay aligned") {
  table_writer Table({"NAME", "X"});
  Table.addRow({"Жұлдыз", "a"});
  Table.addRow({"abcdef", "b"});
  CHECK(render(Table) == "NAME    X\nЖұлдыз  a\nabcdef  b\n");
}
