package org.fulmarreach.cli;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;

import org.fulmarreach.core.rules.ParseResult;
import org.fulmarreach.core.rules.RuleFault;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.rules.RulesParser;

/** Result of reading and validating a rules file. Immutable. */
sealed interface RulesFile {
    /**
     * The file has no faults.
     *
     * @param rules rules of the file
     */
    record Valid(Rules rules) implements RulesFile {}

    /**
     * The file has faults.
     *
     * @param faults all faults of the file
     */
    record Faulty(List<RuleFault> faults) implements RulesFile {}

    /**
     * The file cannot be read.
     *
     * @param cause why it cannot be read
     */
    record Unreadable(String cause) implements RulesFile {}

    /** Reads and validates a file in UTF-8. */
    static RulesFile read(String name) {
        try {
            byte[] bytes = Files.readAllBytes(Path.of(name));
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            return switch (RulesParser.parse(text.lines().toList())) {
                case ParseResult.Parsed parsed -> new Valid(parsed.rules());
                case ParseResult.Faulty faulty -> new Faulty(faulty.faults());
            };
        } catch (CharacterCodingException e) {
            return new Unreadable("it is not valid UTF-8 text");
        } catch (IOException | InvalidPathException e) {
            return new Unreadable("it does not exist or is not readable");
        }
    }
}
