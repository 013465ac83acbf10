include_guard()

# Compile options that every target of the project shares.
add_library(sagesaddle_options INTERFACE)
target_compile_options(sagesaddle_options INTERFACE -Wall -Wextra -Wshadow -Wnon-virtual-dtor -Wno-missing-field-initializers)
if(SAGESADDLE_WERROR)
    target_compile_options(sagesaddle_options INTERFACE -Werror)
endif()
if(CMAKE_UNITY_BUILD)
    # In a unity build files see each other's unnamed namespaces; builds of single files keep both warnings.
    target_compile_options(sagesaddle_options INTERFACE -Wno-shadow -Wno-subobject-linkage)
endif()
if(SAGESADDLE_SANITIZE STREQUAL "address")
    target_compile_options(sagesaddle_options INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer)
    # The sanitized programs are large: gold links them in half the time of the standard linker.
    target_link_options(sagesaddle_options INTERFACE -fsanitize=address,undefined -fuse-ld=gold)
elseif(SAGESADDLE_SANITIZE STREQUAL "thread")
    target_compile_options(sagesaddle_options INTERFACE -fsanitize=thread)
    target_link_options(sagesaddle_options INTERFACE -fsanitize=thread)
endif()
target_include_directories(sagesaddle_options INTERFACE "${CMAKE_SOURCE_DIR}/Source" "${CMAKE_SOURCE_DIR}/Tests" "${CMAKE_SOURCE_DIR}/platform")

# sagesaddle_library(Name SOURCES ... LINK ...): a static library of the project, with the target sagesaddle::Name.
function(sagesaddle_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_library(sagesaddle_${name} STATIC ${ARG_SOURCES})
    add_library(sagesaddle::${name} ALIAS sagesaddle_${name})
    target_link_libraries(sagesaddle_${name} PUBLIC sagesaddle_options ${ARG_LINK})
endfunction()

# sagesaddle_program(name SOURCES ... LINK ...): an executable in the folder bin of the build.
function(sagesaddle_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE sagesaddle_options ${ARG_LINK})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()

# Parameters of the property tests: a fixed seed gives each run the same result.
set(SAGESADDLE_RC_PARAMS "seed=20261203 max_success=300" CACHE STRING "Parameters of rapidcheck")

# sagesaddle_test(Name SOURCES ... LINK ... LABELS ... TIMEOUT s SERIAL): a doctest program; each of its test cases
# is registered in CTest under its own name. With SERIAL, CTest runs no other test beside them.
function(sagesaddle_test name)
    cmake_parse_arguments(ARG "SERIAL" "TIMEOUT" "SOURCES;LINK;LABELS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE sagesaddle_options sagesaddle::TestMain ${ARG_LINK} doctest::doctest)
    doctest_discover_tests(${name} PROPERTIES
        LABELS "${ARG_LABELS}" TIMEOUT ${ARG_TIMEOUT} RUN_SERIAL ${ARG_SERIAL} ENVIRONMENT "RC_PARAMS=${SAGESADDLE_RC_PARAMS}")
endfunction()
