package org.geraniumproxy.core.limit;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.VmName;

/**
 * Tokens that this VM has borrowed, its open requests for tokens, and the last answers of the holders.
 *
 * @param loans usable loans in order of expiry
 * @param pending requests for tokens without an answer
 * @param answers last answer of each holder
 * @param nextLoanIdentifier identifier of the next loan
 */
record BorrowerState(
        List<BorrowedLoan> loans,
        List<PendingLoan> pending,
        Map<VmName, HolderAnswer> answers,
        long nextLoanIdentifier) {
    /** A loan as the borrower sees it. */
    record BorrowedLoan(VmName holder, long identifier, int granted, int spent, Instant arrivedAt, Instant expiresAt) {
        BorrowedLoan {
            InvariantViolation.check(
                    spent >= 0 && spent <= granted, "a borrower spends no more tokens than it was granted");
        }

        int unspent() {
            return granted - spent;
        }

        BorrowedLoan spendOne() {
            return new BorrowedLoan(holder, identifier, granted, spent + 1, arrivedAt, expiresAt);
        }
    }

    /** A request for tokens without an answer. */
    record PendingLoan(VmName holder, long identifier, int wanted, Instant sentAt) {}

    /** A holder's last answer: when its request was sent, and the tokens that remain there. */
    record HolderAnswer(Instant sentAt, boolean empty, int remaining) {}

    BorrowerState {
        loans = List.copyOf(loans);
        pending = List.copyOf(pending);
        answers = Map.copyOf(answers);
    }

    static BorrowerState empty(long firstLoanIdentifier) {
        return new BorrowerState(List.of(), List.of(), Map.of(), firstLoanIdentifier);
    }

    int usableTokens() {
        return loans.stream().mapToInt(BorrowedLoan::unspent).sum();
    }

    int pendingTokens() {
        return pending.stream().mapToInt(PendingLoan::wanted).sum();
    }

    boolean isAsking(VmName holder) {
        return pending.stream().anyMatch(loan -> loan.holder().equals(holder));
    }

    /** Moment since which a holder has no tokens or can't be reached, as far as this VM knows. */
    Instant emptySince(VmName holder) {
        HolderAnswer answer = answers.get(holder);
        return answer != null && answer.empty() ? answer.sentAt() : Instant.MIN;
    }

    int expectedTokens(VmName holder) {
        HolderAnswer answer = answers.get(holder);
        return answer == null ? 1 : answer.remaining();
    }

    Instant lastAsked(VmName holder) {
        HolderAnswer answer = answers.get(holder);
        return answer == null ? Instant.MIN : answer.sentAt();
    }

    BorrowerState ask(VmName holder, int wanted, Instant now) {
        PendingLoan loan = new PendingLoan(holder, nextLoanIdentifier, wanted, now);
        List<PendingLoan> extended =
                Stream.concat(pending.stream(), Stream.of(loan)).toList();
        return new BorrowerState(loans, extended, answers, nextLoanIdentifier + 1);
    }

    Optional<PendingLoan> findPending(long identifier) {
        return pending.stream().filter(loan -> loan.identifier() == identifier).findFirst();
    }

    /** Closes a request for tokens with the holder's answer. */
    BorrowerState answered(PendingLoan asked, int granted, int remaining) {
        Map<VmName, HolderAnswer> updated = new HashMap<>(answers);
        updated.put(asked.holder(), new HolderAnswer(asked.sentAt(), granted == 0, remaining));
        List<PendingLoan> others = pending.stream()
                .filter(loan -> loan.identifier() != asked.identifier())
                .toList();
        return new BorrowerState(loans, others, updated, nextLoanIdentifier);
    }

    BorrowerState add(BorrowedLoan loan) {
        List<BorrowedLoan> extended = Stream.concat(loans.stream(), Stream.of(loan))
                .sorted(Comparator.comparing(BorrowedLoan::expiresAt))
                .toList();
        return new BorrowerState(extended, pending, answers, nextLoanIdentifier);
    }

    BorrowerState withLoans(List<BorrowedLoan> remaining) {
        return new BorrowerState(remaining, pending, answers, nextLoanIdentifier);
    }

    /** Gives up requests for tokens that were sent before a moment. */
    BorrowerState abandonBefore(Instant moment) {
        BorrowerState state = this;
        for (PendingLoan loan : pending) {
            if (loan.sentAt().isBefore(moment)) {
                state = state.answered(loan, 0, 0);
            }
        }
        return state;
    }
}
