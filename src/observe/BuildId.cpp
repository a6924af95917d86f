#include "include/observe/BuildId.h"

#include <elf.h>
#include <link.h>

#include <algorithm>
#include <cstring>
#include <span>
#include <string_view>

namespace onyx {

namespace {

constexpr size_t kBytesShown = 8;
constexpr std::string_view kOwner("GNU\0", 4);  // Of the linker's notes.

constexpr size_t Padded(size_t size) {
    return (size + 3) / 4 * 4;
}

std::string HexOf(std::span<const char> bytes) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string hex;
    for (const char byte : bytes) {
        hex += kDigits[(byte >> 4) & 15];
        hex += kDigits[byte & 15];
    }
    return hex;
}

// The build id among the notes of a segment, or empty.
std::string BuildIdIn(std::span<const char> notes) {
    ElfW(Nhdr) header;
    while (notes.size() >= sizeof(header)) {
        std::memcpy(&header, notes.data(), sizeof(header));
        notes = notes.subspan(sizeof(header));
        const size_t nameSize = Padded(header.n_namesz);
        const size_t size = nameSize + Padded(header.n_descsz);
        if (size > notes.size()) {
            return {};
        }
        const std::string_view owner(notes.data(), header.n_namesz);
        if (header.n_type == NT_GNU_BUILD_ID && owner == kOwner) {
            const size_t shown = std::min<size_t>(kBytesShown, header.n_descsz);
            return HexOf(notes.subspan(nameSize, shown));
        }
        notes = notes.subspan(size);
    }
    return {};
}

// Called for the program first; ends there.
int ReadProgram(dl_phdr_info* program, size_t, void* out) {
    auto& id = *static_cast<std::string*>(out);
    for (size_t i = 0; i < program->dlpi_phnum && id.empty(); ++i) {
        const ElfW(Phdr)& segment = program->dlpi_phdr[i];
        if (segment.p_type == PT_NOTE) {
            // The loader gives addresses as numbers.
            // NOLINTNEXTLINE(performance-no-int-to-ptr)
            const auto* start = reinterpret_cast<const char*>(program->dlpi_addr + segment.p_vaddr);
            id = BuildIdIn({start, segment.p_memsz});
        }
    }
    return 1;
}

}  // namespace

const std::string& BuildId() {
    static const std::string id = [] {
        std::string found;
        dl_iterate_phdr(ReadProgram, &found);
        return found;
    }();
    return id;
}

}  // namespace onyx
