#pragma once

#include "Record/fleet_state.h"
#include "Record/log_record.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief The objects that an operator's folder declares.
struct record_folder {
    /// Newest schema version among the files.
    std::uint32_t schema { 1 };
    std::vector<declared_object> objects;

    auto operator<=>(const record_folder&) const = default;
};

/// Reads all `*.toml` files of a folder, in the order of their names, and merges them.
/// \throws record_error naming the file, the table, the field, the allowed range and the remedy
record_folder readRecordFolder(const std::filesystem::path& folder);

/// Parses one file's text and adds its objects.
/// \param file name of the file, for error messages
/// \throws record_error
void parseRecordFile(const std::string& text, const std::string& file, record_folder& folder);

/// \return the change that makes the state declare what the folder does, against the state's revision;
/// without puts and removals where it already does.
change_record makeFolderChange(
    const fleet_state& state, const record_folder& folder, const std::string& operatorName);

} // namespace sagesaddle
