#include "render_text.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <vector>

namespace plantainpitch::ctl {

namespace json = boost::json;

namespace {

using table_row = std::vector<std::string>;

bool isTable(const json::value &value)
{
    if (!value.is_array() || value.get_array().empty())
        return false;
    const auto &rows = value.get_array();
    return std::all_of(rows.begin(), rows.end(), [](const auto &row) { return row.is_object(); });
}

std::string cellText(const json::value &value)
{
    return value.is_structured() ? json::serialize(value) : scalarText(value);
}

std::vector<table_row> cellsOf(const json::array &rows)
{
    table_row names;
    for (const auto &row : rows) {
        for (const auto &member : row.get_object()) {
            const std::string name(member.key());
            if (std::find(names.begin(), names.end(), name) == names.end())
                names.push_back(name);
        }
    }
    std::vector<table_row> cells{ names };
    for (const auto &row : rows) {
        table_row line;
        for (const auto &name : names) {
            const auto *value = row.get_object().if_contains(name);
            line.push_back(value ? cellText(*value) : "-");
        }
        cells.push_back(std::move(line));
    }
    return cells;
}

void renderTable(const json::array &rows, const std::string &indent, std::string &output)
{
    const auto cells = cellsOf(rows);
    std::vector<std::size_t> widths(cells.front().size(), 0);
    for (const auto &line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    for (const auto &line : cells) {
        std::string text = indent;
        for (std::size_t i = 0; i < line.size(); ++i)
            text += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
        text.erase(text.find_last_not_of(' ') + 1);
        output += text + '\n';
    }
}

void render(const json::value &value, const std::string &indent, std::string &output);

void renderMember(const std::string &name, const json::value &value, const std::string &indent,
                  std::string &output)
{
    const bool empty = (value.is_array() && value.get_array().empty())
                       || (value.is_object() && value.get_object().empty());
    if (empty) {
        output += indent + name + ": none\n";
    } else if (value.is_structured()) {
        output += indent + name + ":\n";
        render(value, indent + "  ", output);
    } else {
        output += indent + name + ": " + scalarText(value) + '\n';
    }
}

void render(const json::value &value, const std::string &indent, std::string &output)
{
    if (isTable(value)) {
        renderTable(value.get_array(), indent, output);
    } else if (value.is_object()) {
        for (const auto &member : value.get_object())
            renderMember(std::string(member.key()), member.value(), indent, output);
    } else if (value.is_array()) {
        for (const auto &element : value.get_array())
            output += indent + "- " + cellText(element) + '\n';
    } else {
        output += indent + scalarText(value) + '\n';
    }
}

} // namespace

std::string scalarText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

std::string renderText(const json::value &value)
{
    std::string output;
    render(value, "", output);
    return output;
}

} // namespace plantainpitch::ctl
