// Module config: settings files in TOML, checked. It owns the document that is read and relies on
// base. Checked means: every key that is wrong or unknown is an error that names the
// file, the key, what was expected and what was found.
#pragma once

#include "include/base/Result.h"
#include "include/base/Time.h"
#include "include/net/Net.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// Reads one settings file key by key, and then tells which keys nobody asked for. Not thread safe.
class SettingsReader {
public:
    // Parses `text`; `file` names it in errors. Errors: kBadInput for malformed TOML (duplicate
    // keys among it).
    static Result<SettingsReader> Make(std::string_view text, std::string file);
    // Reads and parses the file `path`. Errors: kNotFound, kBadInput.
    static Result<SettingsReader> MakeFromFile(const std::string& path);

    SettingsReader(SettingsReader&&) noexcept;
    SettingsReader& operator=(SettingsReader&&) noexcept;
    ~SettingsReader();

    // Each returns the value of the dotted key, or `otherwise` where the file does not have it.
    // A wrong type or range is kept as a problem. Preconditions: none.
    // A number may be written whole or as a fraction; `number` rounds to a whole one.
    std::string text(std::string_view key, std::string_view otherwise);
    int64_t number(std::string_view key, int64_t otherwise, int64_t least, int64_t most);
    bool flag(std::string_view key, bool otherwise);
    double real(std::string_view key, double otherwise, double least, double most);
    // A time in milliseconds, which the file has under one key in milliseconds or under the other
    // in seconds; the one in seconds counts if there are both.
    Millis duration(std::string_view millisKey, std::string_view secondsKey, Millis otherwise,
                    Millis least, Millis most);
    std::vector<std::string> texts(std::string_view key);
    // A table of strings, whose keys may be any.
    std::map<std::string, std::string> textTable(std::string_view key);

    // Like text, but the key must be there and not empty.
    std::string requiredText(std::string_view key);
    // An address "ip:port"; the key must be there unless `otherwise` is given.
    Endpoint address(std::string_view key, std::string_view otherwise = "");
    std::vector<Endpoint> addresses(std::string_view key);

    // Keeps a problem that the caller found in a value. Preconditions: none.
    void reject(std::string_view key, std::string_view expected, std::string_view found) {
        expect(key, expected, found);
    }

    // All problems found so far and all keys that were never asked for, a line each; empty if the
    // file is good. Preconditions: all known keys were asked for.
    std::string problems() const;

private:
    struct Document;
    SettingsReader();
    void expect(std::string_view key, std::string_view expected, std::string_view found);

    std::unique_ptr<Document> m_document;
    std::string m_file;
    std::set<std::string> m_asked;
    std::vector<std::string> m_problems;
};

}  // namespace onyx
