# Declares the static library of a module folder from all its .cpp files, or an
# interface library when it has headers only.
# Usage: hickorygap_module(name dependency...)
function(hickorygap_module name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_library(hickorygap_${name} STATIC ${sources})
    set(scope PUBLIC)
    target_compile_options(hickorygap_${name} PRIVATE -Wall -Wextra
      $<$<BOOL:${HICKORYGAP_WARNINGS_AS_ERRORS}>:-Werror>)
  else()
    add_library(hickorygap_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(hickorygap_${name} ${scope}
    ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(hickorygap_${name} ${scope} ${ARGN})
endfunction()
