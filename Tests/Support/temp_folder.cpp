#include "Support/temp_folder.h"

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <system_error>

namespace sagesaddle::testing {

temp_folder::temp_folder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "sagesaddle-test.XXXXXX";
    if (!mkdtemp(pattern.data()))
        throw std::system_error(errno, std::generic_category(), "cannot create a temporary folder");
    m_path = pattern;
}

temp_folder::~temp_folder()
{
    std::error_code ignored;
    if (!std::getenv("SAGESADDLE_KEEP_LOGS"))
        std::filesystem::remove_all(m_path, ignored);
}

void writeFile(const std::filesystem::path& path, const std::string& text)
{
    std::ofstream stream(path, std::ios::binary | std::ios::trunc);
    stream << text;
    if (!stream.flush())
        throw std::runtime_error("cannot write " + path.string());
}

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream stream(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

} // namespace sagesaddle::testing
