#include "table.h"

#include <algorithm>

namespace whintack::commands::Internal {

Table::Table(std::vector<std::string> Heading) {
  this->Rows.push_back(std::move(Heading));
}

void Table::addRow(std::vector<std::string> Cells) {
  this->Rows.push_back(std::move(Cells));
}

std::string Table::text() const {
  std::vector<size_t> Widths;
  for (const auto &Row : this->Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  std::string Text;
  for (const auto &Row : this->Rows) {
    std::string Line;
    for (size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

} // namespace whintack::commands::Internal
