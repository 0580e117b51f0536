# Target "lint": one clang-tidy run per source, with a stamp that depends on the source's headers through the depfile,
# so that an unchanged source is not checked again.
find_program(CLANG_TIDY clang-tidy)
file(GLOB_RECURSE LINT_SOURCES CONFIGURE_DEPENDS
  ${CMAKE_SOURCE_DIR}/camphorsail/*.cc ${CMAKE_SOURCE_DIR}/daemon/*.cc ${CMAKE_SOURCE_DIR}/ctl/*.cc ${CMAKE_SOURCE_DIR}/platform/*.cc
  ${CMAKE_SOURCE_DIR}/bench/*.cc ${CMAKE_SOURCE_DIR}/tests/*.cc)
set(LINT_STAMPS "")
foreach(source ${LINT_SOURCES})
  file(RELATIVE_PATH relative ${CMAKE_SOURCE_DIR} ${source})
  set(stamp ${CMAKE_BINARY_DIR}/lint/${relative}.stamp)
  get_filename_component(stamp_folder ${stamp} DIRECTORY)
  file(MAKE_DIRECTORY ${stamp_folder})
  add_custom_command(
    OUTPUT ${stamp}
    COMMAND ${CMAKE_SOURCE_DIR}/scripts/lint_source ${CMAKE_SOURCE_DIR} ${CMAKE_BINARY_DIR} ${relative} ${stamp}
    DEPENDS ${source} ${CMAKE_SOURCE_DIR}/.clang-tidy ${CMAKE_SOURCE_DIR}/scripts/lint_source
    DEPFILE ${stamp}.d
    COMMENT "clang-tidy ${relative}")
  list(APPEND LINT_STAMPS ${stamp})
endforeach()
add_custom_target(lint DEPENDS ${LINT_STAMPS})
