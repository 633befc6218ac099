package leadferry.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Builds {@code src/test/native/syscall_faults.c} with the C compiler of the machine. */
final class PreloadLibrary {
  private static final Path SOURCE = Path.of("src/test/native/syscall_faults.c");

  private PreloadLibrary() {}

  /**
   * Builds the library in the folder and returns its path. Without a C compiler, prints the reason
   * and returns empty.
   */
  static Optional<Path> build(Path folder) throws IOException, InterruptedException {
    Path library = folder.resolve("libsyscall_faults.so");
    Process compiler;
    try {
      compiler =
          new ProcessBuilder(
                  "cc",
                  "-shared",
                  "-fPIC",
                  "-O2",
                  "-Wall",
                  "-Werror",
                  "-o",
                  library.toString(),
                  SOURCE.toString(),
                  "-ldl")
              .inheritIO()
              .start();
    } catch (IOException e) {
      System.out.println(
          "system call faults disabled: no C compiler on this machine (" + e.getMessage() + ")");
      return Optional.empty();
    }
    if (compiler.waitFor() != 0 || !Files.exists(library)) {
      throw new IOException("cc failed to build " + SOURCE);
    }
    return Optional.of(library);
  }
}
