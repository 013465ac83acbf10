#pragma once

#include <filesystem>
#include <string>

namespace sagesaddle::testing {

/// \brief A folder for one test's files, removed at its end unless SAGESADDLE_KEEP_LOGS is set.
class temp_folder {
public:
    temp_folder();
    ~temp_folder();

    temp_folder(const temp_folder&) = delete;
    temp_folder& operator=(const temp_folder&) = delete;

    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

/// Writes a whole text file.
void writeFile(const std::filesystem::path& path, const std::string& text);

/// \return the whole file; empty where there is none.
std::string readFile(const std::filesystem::path& path);

} // namespace sagesaddle::testing
