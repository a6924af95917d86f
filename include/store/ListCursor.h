// Where a list of the store's objects that is read in pages goes on.
//
// The next page starts after the last name of the one before. A store that does not take a name as
// it was returned may answer with a page that was read already, so a list that would go on after
// the same name twice does not end.
#pragma once

#include <set>
#include <string>

namespace onyx {

// Deterministic. Not thread safe: one task owns it.
class ListCursor {
public:
    // Records a page that ends with the name `lastName`. `more`: another page follows it.
    // Preconditions: hasMore().
    void addPage(const std::string& lastName, bool more) {
        m_hasMore = more;
        m_isStuck = more && (lastName.empty() || !m_passed.insert(lastName).second);
        m_after = lastName;
    }

    // Whether another page follows the last one. Preconditions: none.
    bool hasMore() const { return m_hasMore; }
    // Whether the next page would be one that was read already. Preconditions: none.
    bool isStuck() const { return m_isStuck; }
    // The name after which the next page starts; empty before the first one. Preconditions: none.
    const std::string& after() const { return m_after; }

private:
    std::set<std::string> m_passed;
    std::string m_after;
    bool m_hasMore = true;
    bool m_isStuck = false;
};

}  // namespace onyx
