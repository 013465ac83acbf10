#pragma once

#include <filesystem>
#include <string>

namespace sagesaddle::testing {

/// \brief A temporary folder for the files of one test; the destructor removes it unless the environment
///        variable SAGESADDLE_KEEP_LOGS is set.
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

/// \brief Writes a file, replacing its content.
/// \throws std::runtime_error where it cannot be written
void writeFile(const std::filesystem::path& path, const std::string& text);

/// \return the content of a file; empty where it cannot be read.
std::string readFile(const std::filesystem::path& path);

} // namespace sagesaddle::testing
