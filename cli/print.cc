#include "cli/print.h"

#include <algorithm>

#include "base/strings.h"

namespace cuminjunction {

namespace {

using Json = nlohmann::json;

// A JSON value in a cell: strings without quotes, objects as "key value" pairs.
std::string Cell(const Json& value) {
  if (value.is_string())
    return value.get<std::string>();
  if (value.is_null())
    return "-";
  if (value.is_array()) {
    std::vector<std::string> parts;
    for (const Json& item : value)
      parts.push_back(Cell(item));
    return parts.empty() ? "-" : StrJoin(parts, ",");
  }
  if (value.is_object()) {
    std::vector<std::string> parts;
    for (const auto& [key, item] : value.items())
      parts.push_back(StrCat(key, "=", Cell(item)));
    return parts.empty() ? "-" : StrJoin(parts, " ");
  }
  return value.dump();
}

Json Field(const Json& object, const std::string& key) {
  return object.is_object() ? object.value(key, Json()) : Json();
}

std::string Listing(const Json& items, const std::vector<std::string>& keys) {
  std::vector<std::vector<std::string>> rows;
  rows.emplace_back();
  for (const std::string& key : keys)
    rows.back().push_back(key);
  for (const Json& item : items) {
    rows.emplace_back();
    for (const std::string& key : keys)
      rows.back().push_back(Cell(Field(item, key)));
  }
  return ToColumns(rows);
}

// Fields of an object, one a line; lists of objects are indented below.
std::string Fields(const Json& object, const std::string& indent) {
  std::string text;
  for (const auto& [key, value] : object.items()) {
    const bool nested =
        value.is_array() && !value.empty() && value.front().is_object();
    if (!nested) {
      StrAppend(&text, indent, key, ": ", Cell(value), "\n");
      continue;
    }
    StrAppend(&text, indent, key, ":\n");
    for (const Json& item : value)
      StrAppend(&text, indent, "  - ", Cell(item), "\n");
  }
  return text;
}

std::string StatusText(const Json& answer) {
  Json head = answer;
  head.erase("members");
  std::string text = Fields(head, "");
  StrAppend(&text, "\n",
            Listing(Field(answer, "members"),
                    {"name", "role", "state", "failure_domain", "region",
                     "services", "config_version"}));
  return text;
}

std::string DiffText(const Json& answer) {
  std::string text;
  for (const auto& [key, mark] :
       {std::pair{"added", "+"}, {"changed", "~"}, {"removed", "-"}}) {
    for (const Json& name : Field(answer, key))
      StrAppend(&text, mark, " ", Cell(name), "\n");
  }
  return text.empty() ? "no change\n" : text;
}

// A problem of a document as compilers print theirs, or any other detail.
std::string DetailText(const Json& detail) {
  if (!detail.is_object() || !detail.contains("line"))
    return Cell(detail);
  const std::string hint = Cell(Field(detail, "hint"));
  return StrCat(Cell(Field(detail, "file")), ":", Cell(Field(detail, "line")),
                ": ", Cell(Field(detail, "key")), ": ",
                Cell(Field(detail, "problem")),
                hint.empty() ? "" : StrCat(" (", hint, ")"));
}

}  // namespace

std::string ToColumns(const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      std::string cell = row[i];
      if (i + 1 < row.size())
        cell.resize(widths[i] + 2, ' ');
      line += cell;
    }
    StrAppend(&text, line, "\n");
  }
  return text;
}

std::string ToText(CommandKind kind, const Json& answer) {
  switch (kind) {
    case CommandKind::kStatus:
      return StatusText(answer);
    case CommandKind::kJobs:
      return Listing(Field(answer, "jobs"),
                     {"name", "account", "kind", "tasks"});
    case CommandKind::kDiff:
      return DiffText(answer);
    case CommandKind::kConfigHistory:
      return Listing(Field(answer, "changes"),
                     {"version", "time", "operator", "change"});
    case CommandKind::kConfigShow:
      return StrCat("# version: ", Cell(Field(answer, "version")), "\n",
                    Cell(Field(answer, "text")));
    default:
      return Fields(answer, "");
  }
}

std::string ErrorToText(const Json& error) {
  std::string text = StrCat("cuminjunction: ", Cell(Field(error, "message")),
                            " (", Cell(Field(error, "code")), ")\n");
  const Json details = Field(error, "details");
  if (details.is_array()) {
    for (const Json& item : details)
      StrAppend(&text, "  ", DetailText(item), "\n");
  } else if (details.is_object()) {
    text += Fields(details, "  ");
  }
  return text;
}

}  // namespace cuminjunction
