#ifndef WHINTACK_COMMANDS_TABLE_H
#define WHINTACK_COMMANDS_TABLE_H

#include <string>
#include <vector>

namespace whintack::commands::Internal {

/// A plain-text table. Each column is as wide as its widest cell.
class Table {
public:
  explicit Table(std::vector<std::string> Heading);

  void addRow(std::vector<std::string> Cells);
  std::string text() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_TABLE_H
