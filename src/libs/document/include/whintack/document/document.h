#ifndef WHINTACK_DOCUMENT_DOCUMENT_H
#define WHINTACK_DOCUMENT_DOCUMENT_H

#include "whintack/base/enumnames.h"
#include "whintack/base/result.h"
#include "whintack/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace whintack::document {

/// An error in one field of a YAML file.
struct FieldError {
  std::string File;
  unsigned Line = 0;
  std::string Field;
  std::string Message;

  /// Returns "file:line: field: message". The message says what is wrong and
  /// what was expected.
  std::string text() const;
};

/// All errors of a file, sorted by line.
struct DocumentError {
  std::vector<FieldError> Fields;

  /// Returns one line per error, as FieldError::text() formats it.
  std::string text() const;
};

/// Collects the errors found while a file is read, so that all of them can be
/// reported together.
class ErrorList {
public:
  explicit ErrorList(std::string File) : File(std::move(File)) {}

  /// Adds an error at the line of \p Node.
  void add(const YAML::Node &Node, const std::string &Field,
           const std::string &Message);
  bool isEmpty() const { return this->Errors.empty(); }

  /// Moves the errors out, sorted by line.
  DocumentError take();

private:
  std::string File;
  std::vector<FieldError> Errors;
};

/// Reads and validates the fields of one YAML mapping. Keys that are never read
/// and duplicate keys are errors.
class FieldReader {
public:
  /// \p Path identifies the mapping in error messages, for example
  /// "services[2].budget".
  FieldReader(const YAML::Node &Mapping, std::string Path, ErrorList &Errors);

  /// Reads an optional string. Returns \p Fallback if the key is missing.
  std::string text(const std::string &Key, const std::string &Fallback);
  /// Reads a string that must be present and not empty.
  std::string requiredText(const std::string &Key);
  /// Reads a name that must be present. It consists of lower-case letters,
  /// digits and hyphens.
  std::string requiredName(const std::string &Key);
  /// Reads an optional integer from \p Min to \p Max. Records an error and
  /// returns \p Fallback if the value is invalid.
  int64_t number(const std::string &Key, int64_t Fallback, int64_t Min,
                 int64_t Max);
  /// Reads an integer that must be present.
  int64_t requiredNumber(const std::string &Key, int64_t Min, int64_t Max);
  /// Reads an optional boolean value.
  bool boolean(const std::string &Key, bool Fallback);
  /// Reads an optional duration such as "250ms", "3s", "5m", "2h" or "21d".
  Duration duration(const std::string &Key, Duration Fallback, Duration Min,
                    Duration Max);
  /// Reads an optional sequence of strings.
  std::vector<std::string> texts(const std::string &Key);

  /// Calls \p Read for the mapping at \p Key if the key is present.
  void mapping(const std::string &Key,
               const std::function<void(FieldReader &)> &Read);
  /// Calls \p Read for each mapping of the sequence at \p Key.
  void sequence(const std::string &Key,
                const std::function<void(FieldReader &)> &Read);
  /// Calls \p Read with each key and value of the mapping at \p Key. The keys
  /// of this mapping are not predefined.
  void entries(const std::string &Key,
               const std::function<void(const std::string &, int64_t)> &Read,
               int64_t Min, int64_t Max);

  /// Reads an optional enum value by its name in \p Table.
  template <typename Enum, size_t Count>
  Enum choice(const std::string &Key, const EnumNames<Enum, Count> &Table,
              Enum Fallback) {
    const std::string Name =
        this->text(Key, std::string(nameOf(Table, Fallback)));
    if (const std::optional<Enum> Found = valueOf(Table, Name))
      return *Found;
    this->error(Key, "'" + Name + "' is not one of " + joinNames(Table));
    return Fallback;
  }

  /// Records an error for the field \p Key, or for the mapping itself if \p Key
  /// is empty.
  void error(const std::string &Key, const std::string &Message);

  /// Records an error for each key that was not read. Call it after all fields
  /// were read.
  void finish();

  /// Returns the line of this mapping; the first line is 1.
  unsigned line() const;

private:
  YAML::Node find(const std::string &Key);
  std::string fieldPath(const std::string &Key) const;

  YAML::Node Mapping;
  std::string Path;
  ErrorList &Errors;
  std::vector<std::string> ReadKeys;
};

/// Parses \p Content and calls \p Read with its root mapping. Fails with all
/// errors found; they refer to the document as \p File.
Result<void, DocumentError>
readDocument(const std::string &File, const std::string &Content,
             const std::function<void(FieldReader &)> &Read);

/// Returns the content of \p File, or an error if it cannot be opened.
Result<std::string, DocumentError> readFile(const std::string &File);

/// Formats \p Length so that FieldReader::duration() can read it.
std::string formatDuration(Duration Length);

} // namespace whintack::document

#endif // WHINTACK_DOCUMENT_DOCUMENT_H
