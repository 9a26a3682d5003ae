#ifndef DANDELIONMOUNTD_FILE_TEXT_H
#define DANDELIONMOUNTD_FILE_TEXT_H

#include <fstream>
#include <iterator>
#include <optional>
#include <string>

/// Reads a whole file; nullopt when it can't be opened.
[[nodiscard]] inline std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

#endif
