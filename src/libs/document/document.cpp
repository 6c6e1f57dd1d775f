#include "whintack/document/document.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

namespace whintack::document {

namespace Internal {

/// A unit of time and its suffix in durations such as "250ms".
struct TimeUnit {
  std::string_view Suffix;
  Duration Length;
};

} // namespace Internal

static constexpr std::array<Internal::TimeUnit, 5> TimeUnits = {{
    {"d", std::chrono::hours(24)},
    {"h", std::chrono::hours(1)},
    {"m", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"ms", std::chrono::milliseconds(1)},
}};

static unsigned lineNumber(const YAML::Node &Node) {
  if (!Node.IsDefined())
    return 1;
  const int Line = Node.Mark().line;
  return Line < 0 ? 1 : static_cast<unsigned>(Line) + 1;
}

static std::optional<Duration> parseDuration(const std::string &Text) {
  const size_t DigitCount = Text.find_first_not_of("0123456789");
  constexpr size_t MaxDigits = 9;
  if (DigitCount == 0 || DigitCount == std::string::npos ||
      DigitCount > MaxDigits)
    return std::nullopt;
  const int64_t Count = std::stoll(Text.substr(0, DigitCount));
  const std::string Suffix = Text.substr(DigitCount);
  for (const Internal::TimeUnit &Unit : TimeUnits)
    if (Unit.Suffix == Suffix)
      return Unit.Length * Count;
  return std::nullopt;
}

std::string formatDuration(Duration Length) {
  if (Length == Duration::zero())
    return "0s";
  for (const Internal::TimeUnit &Unit : TimeUnits)
    if (Length % Unit.Length == Duration::zero())
      return std::to_string(Length / Unit.Length) + std::string(Unit.Suffix);
  return std::to_string(toMilliseconds(Length)) + "ms";
}

std::string FieldError::text() const {
  std::string Text = this->File + ":" + std::to_string(this->Line) + ": ";
  if (!this->Field.empty())
    Text += this->Field + ": ";
  return Text + this->Message;
}

std::string DocumentError::text() const {
  std::string Text;
  for (const FieldError &Error : this->Fields) {
    if (!Text.empty())
      Text += "\n";
    Text += Error.text();
  }
  return Text;
}

void ErrorList::add(const YAML::Node &Node, const std::string &Field,
                    const std::string &Message) {
  this->Errors.push_back({this->File, lineNumber(Node), Field, Message});
}

DocumentError ErrorList::take() {
  std::stable_sort(this->Errors.begin(), this->Errors.end(),
                   [](const FieldError &Left, const FieldError &Right) {
                     return Left.Line < Right.Line;
                   });
  return DocumentError{std::move(this->Errors)};
}

FieldReader::FieldReader(const YAML::Node &Mapping, std::string Path,
                         ErrorList &Errors)
    : Mapping(Mapping), Path(std::move(Path)), Errors(Errors) {
  std::vector<std::string> SeenKeys;
  for (const auto &Pair : this->Mapping) {
    const std::string Key = Pair.first.Scalar();
    if (std::find(SeenKeys.begin(), SeenKeys.end(), Key) != SeenKeys.end())
      this->Errors.add(Pair.first, this->fieldPath(Key),
                       "this key stands twice");
    SeenKeys.push_back(Key);
  }
}

std::string FieldReader::fieldPath(const std::string &Key) const {
  if (Key.empty())
    return this->Path;
  return this->Path.empty() ? Key : this->Path + "." + Key;
}

YAML::Node FieldReader::find(const std::string &Key) {
  this->ReadKeys.push_back(Key);
  for (const auto &Pair : this->Mapping)
    if (Pair.first.Scalar() == Key)
      return Pair.second;
  return YAML::Node(YAML::NodeType::Undefined);
}

unsigned FieldReader::line() const { return lineNumber(this->Mapping); }

void FieldReader::error(const std::string &Key, const std::string &Message) {
  YAML::Node ErrorNode = this->Mapping;
  for (const auto &Pair : this->Mapping)
    if (Pair.first.Scalar() == Key)
      ErrorNode = Pair.first;
  this->Errors.add(ErrorNode, this->fieldPath(Key), Message);
}

std::string FieldReader::text(const std::string &Key,
                              const std::string &Fallback) {
  const YAML::Node Node = this->find(Key);
  if (!Node.IsDefined())
    return Fallback;
  if (!Node.IsScalar()) {
    this->error(Key, "expected a text");
    return Fallback;
  }
  return Node.Scalar();
}

std::string FieldReader::requiredText(const std::string &Key) {
  std::string Text = this->text(Key, "");
  if (Text.empty())
    this->error(Key, "'" + Key + "' is missing or empty; expected a text");
  return Text;
}

std::string FieldReader::requiredName(const std::string &Key) {
  static constexpr std::string_view Allowed =
      "abcdefghijklmnopqrstuvwxyz0123456789-";
  constexpr size_t MaxNameLength = 100;
  std::string Name = this->requiredText(Key);
  const bool IsName = Name.find_first_not_of(Allowed) == std::string::npos &&
                      Name.size() <= MaxNameLength;
  if (!IsName)
    this->error(Key, "'" + Name +
                         "' is not a name; expected up to 100 lower-case "
                         "letters, digits and hyphens");
  return Name;
}

int64_t FieldReader::number(const std::string &Key, int64_t Fallback,
                            int64_t Min, int64_t Max) {
  const YAML::Node Node = this->find(Key);
  if (!Node.IsDefined())
    return Fallback;
  const std::string Expected = "expected a whole number from " +
                               std::to_string(Min) + " to " +
                               std::to_string(Max);
  int64_t Value = 0;
  if (!Node.IsScalar() || !YAML::convert<int64_t>::decode(Node, Value)) {
    this->error(Key, "not a number; " + Expected);
    return Fallback;
  }
  if (Value < Min || Value > Max) {
    this->error(Key, std::to_string(Value) + " is out of range; " + Expected);
    return Fallback;
  }
  return Value;
}

int64_t FieldReader::requiredNumber(const std::string &Key, int64_t Min,
                                    int64_t Max) {
  if (!this->find(Key).IsDefined())
    this->error(Key, "'" + Key + "' is missing; expected a whole number");
  return this->number(Key, Min, Min, Max);
}

bool FieldReader::boolean(const std::string &Key, bool Fallback) {
  const YAML::Node Node = this->find(Key);
  if (!Node.IsDefined())
    return Fallback;
  bool Value = Fallback;
  if (!Node.IsScalar() || !YAML::convert<bool>::decode(Node, Value))
    this->error(Key, "expected true or false");
  return Value;
}

Duration FieldReader::duration(const std::string &Key, Duration Fallback,
                               Duration Min, Duration Max) {
  const YAML::Node Node = this->find(Key);
  if (!Node.IsDefined())
    return Fallback;
  const std::string Expected = "expected a length of time from " +
                               formatDuration(Min) + " to " +
                               formatDuration(Max) + ", as in 250ms or 3s";
  std::optional<Duration> Length;
  if (Node.IsScalar())
    Length = parseDuration(Node.Scalar());
  if (!Length) {
    this->error(Key, "not a length of time; " + Expected);
    return Fallback;
  }
  if (*Length < Min || *Length > Max) {
    this->error(Key, Node.Scalar() + " is out of range; " + Expected);
    return Fallback;
  }
  return *Length;
}

std::vector<std::string> FieldReader::texts(const std::string &Key) {
  std::vector<std::string> Values;
  const YAML::Node Node = this->find(Key);
  if (!Node.IsDefined())
    return Values;
  if (!Node.IsSequence()) {
    this->error(Key, "expected a list of texts");
    return Values;
  }
  for (const YAML::Node &Item : Node) {
    if (!Item.IsScalar())
      this->Errors.add(Item, this->fieldPath(Key), "expected a text");
    else
      Values.push_back(Item.Scalar());
  }
  return Values;
}

void FieldReader::mapping(const std::string &Key,
                          const std::function<void(FieldReader &)> &Read) {
  const YAML::Node Node = this->find(Key);
  if (!Node.IsDefined())
    return;
  if (!Node.IsMap()) {
    this->error(Key, "expected a mapping");
    return;
  }
  FieldReader Inner(Node, this->fieldPath(Key), this->Errors);
  Read(Inner);
  Inner.finish();
}

void FieldReader::sequence(const std::string &Key,
                           const std::function<void(FieldReader &)> &Read) {
  const YAML::Node Node = this->find(Key);
  if (!Node.IsDefined())
    return;
  if (!Node.IsSequence()) {
    this->error(Key, "expected a list");
    return;
  }
  for (size_t Index = 0; Index < Node.size(); ++Index) {
    const std::string ItemPath =
        this->fieldPath(Key) + "[" + std::to_string(Index) + "]";
    if (!Node[Index].IsMap()) {
      this->Errors.add(Node[Index], ItemPath, "expected a mapping");
      continue;
    }
    FieldReader Inner(Node[Index], ItemPath, this->Errors);
    Read(Inner);
    Inner.finish();
  }
}

void FieldReader::entries(
    const std::string &Key,
    const std::function<void(const std::string &, int64_t)> &Read, int64_t Min,
    int64_t Max) {
  const YAML::Node Node = this->find(Key);
  if (!Node.IsDefined())
    return;
  if (!Node.IsMap()) {
    this->error(Key, "expected a mapping of names to numbers");
    return;
  }
  FieldReader Inner(Node, this->fieldPath(Key), this->Errors);
  for (const auto &Pair : Node) {
    const std::string Name = Pair.first.Scalar();
    Read(Name, Inner.number(Name, Min, Min, Max));
  }
}

void FieldReader::finish() {
  for (const auto &Pair : this->Mapping) {
    const std::string Key = Pair.first.Scalar();
    if (std::find(this->ReadKeys.begin(), this->ReadKeys.end(), Key) !=
        this->ReadKeys.end())
      continue;
    std::string Expected;
    for (const std::string &Name : this->ReadKeys)
      if (Expected.find(Name) == std::string::npos)
        Expected += (Expected.empty() ? "" : ", ") + Name;
    this->Errors.add(Pair.first, this->fieldPath(Key),
                     "unknown key; expected one of " + Expected);
  }
}

Result<void, DocumentError>
readDocument(const std::string &File, const std::string &Content,
             const std::function<void(FieldReader &)> &Read) {
  ErrorList Errors(File);
  YAML::Node Root;
  try {
    Root = YAML::Load(Content);
  } catch (const YAML::Exception &Error) {
    const auto Line = static_cast<unsigned>(std::max(Error.mark.line, 0)) + 1;
    return failure(
        DocumentError{{{File, Line, "", "not valid YAML: " + Error.msg}}});
  }
  if (!Root.IsMap())
    return failure(DocumentError{{{File, 1, "", "expected a mapping"}}});
  FieldReader Reader(Root, "", Errors);
  Read(Reader);
  Reader.finish();
  if (!Errors.isEmpty())
    return failure(Errors.take());
  return success();
}

Result<std::string, DocumentError> readFile(const std::string &File) {
  std::ifstream Stream(File, std::ios::binary);
  if (!Stream)
    return failure(DocumentError{{{File, 1, "", "cannot be opened"}}});
  std::ostringstream Content;
  Content << Stream.rdbuf();
  return Content.str();
}

} // namespace whintack::document
