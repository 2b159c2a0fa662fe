package org.fulmarreach.core.rules;

import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a faulty line that is accepted, reported without a remedy, or masked by an earlier fault. */
class RulesParserTest {
    private static final String URGENT = "urgent bestellung/checkout idempotent=no cost=3 # kreidekiste: Lena";
    private static final String BATCH = "batch farbplan region=sued every=24h at=22h within=7h30m runtime=20m"
            + " cores=8 memory=16G # kreidekiste: Jonas";

    @Test
    void readsEachKindWithItsUnits() {
        Rules rules = parse(
                URGENT,
                "",
                "# only a comment",
                BATCH,
                "standing packer-sync\tregion=sued  cores=0.5 memory=512M task=sync #  kreidekiste:  Jonas ",
                "quota cores=64 memory=128G tasks=40 # kreidekiste: Lena",
                "budget amount=100000 every=24h # federation: treasurer");
        Approvals.verify(rules.all().stream().map(Rule::toString).collect(Collectors.joining("\n")));
    }

    @Test
    void reportsAllFaultsAtOnce() {
        ParseResult result = RulesParser.parse(List.of(
                "urgnt bestellung/checkout idempotent=no # kreidekiste: Lena",
                "urgent bestellung idempotent=maybe deadline=2 cost=-1 colour=red",
                "batch Farbplan region=sued every=1h at=1h within=2h runtime=3h cores=8 memory=16 # kreidekiste: Jonas",
                "batch # kreidekiste: Jonas",
                "standing a region=sued cores=1.2345 memory=99999999999999999G memory=1G # no member",
                "quota cores=64 memory=128G tasks=40 # kreidekiste: Lena",
                "quota cores=1 memory=1G tasks=1 # kreidekiste: Jonas",
                "budget amount=99999999999999999999 every=30m2h # federation: treasurer",
                "budget amount=1 every=0s # federation: treasurer",
                "budget amount=1 every=24h # federation: treasurer",
                "budget amount=2 every=24h # federation: treasurer",
                "urgent a/../b idempotent=yes # m: t",
                "urgent a/\u202eb idempotent=yes # m: t",
                "x".repeat(RulesParser.MAX_LINE_BYTES + 1),
                BATCH,
                "standing farbplan region=sued cores=1 memory=1G # kreidekiste: Jonas"));
        ParseResult.Faulty faulty = assertInstanceOf(ParseResult.Faulty.class, result);
        Approvals.verify(faulty.faults().stream().map(RuleFault::toText).collect(Collectors.joining("\n")));
    }

    @Test
    void rejectsTooManyLines() {
        List<String> lines = Collections.nCopies(RulesParser.MAX_LINES + 1, "");
        assertInstanceOf(ParseResult.Faulty.class, RulesParser.parse(lines));
    }

    @Test
    void findsTheLongestPathPrefixOnSegmentBoundaries() {
        Rules rules = parse(
                "urgent s/a idempotent=yes # m: t",
                "urgent s/a/b idempotent=no # m: t",
                "urgent t/ idempotent=no # m: t");
        assertEquals("a/b", rules.findUrgent("s", "/a/b/c").orElseThrow().path());
        assertEquals("a", rules.findUrgent("s", "a/bc").orElseThrow().path());
        assertTrue(rules.findUrgent("s", "ab").isEmpty());
        assertEquals("", rules.findUrgent("t", "/x").orElseThrow().path());
        assertTrue(rules.findUrgent("u", "/a").isEmpty());
    }

    @Test
    void schedulesRunsAtMultiplesOfTheInterval() {
        BatchRule rule = parse(BATCH).batch().get(0);
        long dayMs = 86_400_000L;
        long atMs = 22 * 3_600_000L;
        List<BatchRun> runs = rule.findRuns(3 * dayMs + atMs, 5 * dayMs + atMs);
        assertEquals(List.of(3L, 4L), runs.stream().map(BatchRun::run).toList());
        assertEquals(3 * dayMs + atMs + 27_000_000L, runs.get(0).deadlineMs());
        assertEquals(0, rule.findRuns(Long.MIN_VALUE, Long.MAX_VALUE).get(0).run());
    }

    @Test
    void diffIgnoresWhiteSpace() {
        RulesDiff diff = RulesDiff.between(
                List.of(URGENT, BATCH), List.of(BATCH.replace(" ", "  \t"), "# note", "", URGENT.replace("3", "4")));
        assertEquals(List.of(URGENT), diff.removed());
        assertEquals(List.of(URGENT.replace("3", "4")), diff.added());
    }

    @Property(seed = "4711", tries = 2000)
    void neverThrowsOnArbitraryText(@ForAll List<String> lines, @ForAll String tail) {
        RulesParser.parse(lines);
        for (String kind :
                List.of("urgent ", "batch ", "standing a every=", "quota cores=", "budget amount=1 every=")) {
            RulesParser.parse(List.of(kind + tail));
        }
    }

    @Property(seed = "4712", tries = 500)
    void canonicalFormIsStable(@ForAll String text) {
        String once = RulesParser.toCanonical(text);
        assertEquals(once, RulesParser.toCanonical(once));
    }

    private static Rules parse(String... lines) {
        return assertInstanceOf(ParseResult.Parsed.class, RulesParser.parse(List.of(lines)))
                .rules();
    }
}
