#include "Fleet/model_ref.h"
#include "Fleet/upstream_list.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

TEST_CASE("model ref: references to models and adapters are formatted and parsed")
{
    CHECK(formatModelRef("m1", "") == "m1");
    CHECK(formatModelRef("m1", "a2") == "m1/a2");
    CHECK(parseModelRef("m1") == model_ref { "m1", "" });
    CHECK(parseModelRef("m1/a2") == model_ref { "m1", "a2" });
    CHECK(isAdapterRef("m1/a2"));
    CHECK_FALSE(isAdapterRef("m1"));
    CHECK(loadedModelRefs({ { "m1", { "a1", "a2" } }, { "m2", {} } })
        == std::vector<std::string> { "m1", "m1/a1", "m1/a2", "m2" });
}
