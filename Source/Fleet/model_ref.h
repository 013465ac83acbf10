#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle {

struct loaded_model;

/// \brief Names a model or one of its adapters.
struct model_ref {
    std::string model;
    /// Empty if the model itself is meant.
    std::string adapter;

    auto operator<=>(const model_ref&) const = default;
};

/// \param adapter empty for the model itself
/// \return the reference as text: `model` or `model/adapter`.
std::string formatModelRef(const std::string& model, const std::string& adapter);

/// \param text as formatModelRef returns it
model_ref parseModelRef(std::string_view text);

/// \param text as formatModelRef returns it
/// \return whether the text refers to an adapter.
bool isAdapterRef(std::string_view text);

/// \return references to all models and adapters of the list as texts, each model before its adapters.
std::vector<std::string> loadedModelRefs(const std::vector<loaded_model>& models);

} // namespace sagesaddle
