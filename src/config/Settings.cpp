#include "include/config/Settings.h"

#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <optional>
#include <sstream>

namespace onyx {

struct SettingsReader::Document {
    toml::table table;
};

SettingsReader::SettingsReader() : m_document(std::make_unique<Document>()) {}
SettingsReader::SettingsReader(SettingsReader&&) noexcept = default;
SettingsReader& SettingsReader::operator=(SettingsReader&&) noexcept = default;
SettingsReader::~SettingsReader() = default;

namespace {

std::string TypeName(const toml::node& node) {
    std::ostringstream out;
    out << node.type();
    return out.str();
}

// The value of a number, rounded to a whole one. Empty for other types and for numbers that no
// setting can have.
std::optional<int64_t> WholeNumber(const toml::node& node) {
    constexpr double kLargest = 1e15;
    if (const auto* whole = node.as_integer()) {
        return whole->get();
    }
    const auto* fraction = node.as_floating_point();
    if (fraction == nullptr || !(std::abs(fraction->get()) <= kLargest)) {
        return std::nullopt;
    }
    return std::llround(fraction->get());
}

void CollectKeys(const toml::table& table, const std::string& prefix,
                 std::vector<std::string>& keys) {
    for (const auto& [name, node] : table) {
        const std::string key = prefix + std::string(name.str());
        if (const toml::table* inner = node.as_table()) {
            CollectKeys(*inner, key + ".", keys);
        } else {
            keys.push_back(key);
        }
    }
}

}  // namespace

Result<SettingsReader> SettingsReader::Make(std::string_view text, std::string file) {
    SettingsReader reader;
    reader.m_file = std::move(file);
    try {
        reader.m_document->table = toml::parse(text, reader.m_file);
    } catch (const toml::parse_error& e) {
        const auto line = std::to_string(e.source().begin.line);
        return Error{ErrorCode::kBadInput, "settings", reader.m_file,
                     "line " + line + ": " + std::string(e.description())};
    }
    return reader;
}

Result<SettingsReader> SettingsReader::MakeFromFile(const std::string& path) {
    std::ifstream in(path);
    if (!in) {
        return Error{ErrorCode::kNotFound, "settings", path, "cannot be read"};
    }
    std::ostringstream text;
    text << in.rdbuf();
    return Make(text.str(), path);
}

void SettingsReader::expect(std::string_view key, std::string_view expected,
                            std::string_view found) {
    m_problems.push_back(m_file + ": " + std::string(key) + ": expected " + std::string(expected) +
                         ", found " + std::string(found));
}

std::string SettingsReader::text(std::string_view key, std::string_view otherwise) {
    m_asked.emplace(key);
    const auto node = m_document->table.at_path(key);
    if (!node) {
        return std::string(otherwise);
    }
    if (const auto* value = node.as_string()) {
        return value->get();
    }
    expect(key, "a string", TypeName(*node.node()));
    return std::string(otherwise);
}

std::string SettingsReader::requiredText(std::string_view key) {
    std::string value = text(key, "");
    if (value.empty()) {
        expect(key, "a value", "nothing");
    }
    return value;
}

bool SettingsReader::flag(std::string_view key, bool otherwise) {
    m_asked.emplace(key);
    const auto node = m_document->table.at_path(key);
    if (!node) {
        return otherwise;
    }
    if (const auto* value = node.as_boolean()) {
        return value->get();
    }
    expect(key, "true or false", TypeName(*node.node()));
    return otherwise;
}

int64_t SettingsReader::number(std::string_view key, int64_t otherwise, int64_t least,
                               int64_t most) {
    m_asked.emplace(key);
    const auto node = m_document->table.at_path(key);
    if (!node) {
        return otherwise;
    }
    const std::string range =
        "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
    const auto value = WholeNumber(*node.node());
    if (!value) {
        expect(key, range, TypeName(*node.node()));
        return otherwise;
    }
    if (*value < least || *value > most) {
        expect(key, range, std::to_string(*value));
        return otherwise;
    }
    return *value;
}

Millis SettingsReader::duration(std::string_view millisKey, std::string_view secondsKey,
                                Millis otherwise, Millis least, Millis most) {
    constexpr double kMillisPerSecond = 1000;
    const Millis fromMillis = number(millisKey, otherwise, least, most);
    const double seconds = real(secondsKey, static_cast<double>(fromMillis) / kMillisPerSecond,
                                static_cast<double>(least) / kMillisPerSecond,
                                static_cast<double>(most) / kMillisPerSecond);
    return static_cast<Millis>(std::llround(seconds * kMillisPerSecond));
}

double SettingsReader::real(std::string_view key, double otherwise, double least, double most) {
    m_asked.emplace(key);
    const auto node = m_document->table.at_path(key);
    if (!node) {
        return otherwise;
    }
    const auto value = node.value<double>();
    std::ostringstream range;
    range << "a number from " << least << " to " << most;
    if (!value || !(*value >= least && *value <= most)) {  // Also rejects a value that is NaN.
        expect(key, range.str(), value ? std::to_string(*value) : TypeName(*node.node()));
        return otherwise;
    }
    return *value;
}

std::vector<std::string> SettingsReader::texts(std::string_view key) {
    m_asked.emplace(key);
    std::vector<std::string> values;
    const auto node = m_document->table.at_path(key);
    if (!node) {
        return values;
    }
    const auto* array = node.as_array();
    if (array == nullptr) {
        expect(key, "a list of strings", TypeName(*node.node()));
        return values;
    }
    for (const auto& item : *array) {
        if (const auto* value = item.as_string()) {
            values.push_back(value->get());
        } else {
            expect(key, "a list of strings", "a list with " + TypeName(item));
        }
    }
    return values;
}

std::map<std::string, std::string> SettingsReader::textTable(std::string_view key) {
    std::map<std::string, std::string> values;
    const auto node = m_document->table.at_path(key);
    if (!node) {
        return values;
    }
    const auto* table = node.as_table();
    if (table == nullptr) {
        m_asked.emplace(key);
        expect(key, "a table of strings", TypeName(*node.node()));
        return values;
    }
    for (const auto& [name, item] : *table) {
        const std::string itemKey = std::string(key) + "." + std::string(name.str());
        m_asked.insert(itemKey);
        if (const auto* value = item.as_string()) {
            values.emplace(name.str(), value->get());
        } else {
            expect(itemKey, "a string", TypeName(item));
        }
    }
    return values;
}

Endpoint SettingsReader::address(std::string_view key, std::string_view otherwise) {
    const std::string value = text(key, otherwise);
    const auto parsed = ParseEndpoint(value);
    if (parsed.has_error()) {
        expect(key, "an address ip:port", value.empty() ? "nothing" : value);
        return {};
    }
    return parsed.value();
}

std::vector<Endpoint> SettingsReader::addresses(std::string_view key) {
    std::vector<Endpoint> endpoints;
    for (const std::string& value : texts(key)) {
        const auto parsed = ParseEndpoint(value);
        if (parsed.has_error()) {
            expect(key, "addresses ip:port", value);
        } else {
            endpoints.push_back(parsed.value());
        }
    }
    return endpoints;
}

std::string SettingsReader::problems() const {
    std::string all;
    for (const std::string& problem : m_problems) {
        all += problem + "\n";
    }
    std::vector<std::string> keys;
    CollectKeys(m_document->table, "", keys);
    for (const std::string& key : keys) {
        if (!m_asked.contains(key)) {
            all += m_file + ": " + key + ": expected no such key, found it\n";
        }
    }
    return all;
}

}  // namespace onyx
