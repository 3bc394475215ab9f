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
 * Tokens that this VM has borrowed, its pending requests for tokens, and the last answer of each holder.
 *
 * @param loans loans with unspent tokens, ordered by expiry
 * @param pendingRequests requests for tokens that are not answered yet
 * @param answers last answer of each holder; an unreachable holder counts as empty
 * @param nextLoanIdentifier identifier of the next request, unique on this VM
 */
record BorrowerState(
        List<BorrowedLoan> loans,
        List<LoanRequest> pendingRequests,
        Map<VmName, HolderAnswer> answers,
        long nextLoanIdentifier) {
    /** Loan from the borrower's side. */
    record BorrowedLoan(VmName holder, long identifier, int granted, int spent, Instant arrivedAt, Instant expiresAt) {
        BorrowedLoan {
            InvariantViolation.check(spent >= 0 && spent <= granted, "spent tokens out of range for the loan");
        }

        int unspent() {
            return granted - spent;
        }

        BorrowedLoan spendOne() {
            return new BorrowedLoan(holder, identifier, granted, spent + 1, arrivedAt, expiresAt);
        }
    }

    /** Request for tokens that is not answered yet. */
    record LoanRequest(VmName holder, long identifier, int wanted, Instant sentAt) {}

    /** Last answer of a holder: when the request was sent, whether it granted nothing, and the tokens that remained. */
    record HolderAnswer(Instant sentAt, boolean empty, int remaining) {}

    BorrowerState {
        loans = List.copyOf(loans);
        pendingRequests = List.copyOf(pendingRequests);
        answers = Map.copyOf(answers);
    }

    static BorrowerState empty(long firstLoanIdentifier) {
        return new BorrowerState(List.of(), List.of(), Map.of(), firstLoanIdentifier);
    }

    int usableTokens() {
        return loans.stream().mapToInt(BorrowedLoan::unspent).sum();
    }

    int pendingTokens() {
        return pendingRequests.stream().mapToInt(LoanRequest::wanted).sum();
    }

    boolean hasPendingRequest(VmName holder) {
        return pendingRequests.stream().anyMatch(loan -> loan.holder().equals(holder));
    }

    /** Returns the time since which a holder is known to be empty or unreachable, {@link Instant#MIN} if it is not. */
    Instant emptySince(VmName holder) {
        HolderAnswer answer = answers.get(holder);
        return answer != null && answer.empty() ? answer.sentAt() : Instant.MIN;
    }

    int expectedTokens(VmName holder) {
        HolderAnswer answer = answers.get(holder);
        return answer == null ? 1 : answer.remaining();
    }

    Instant lastRequestSentAt(VmName holder) {
        HolderAnswer answer = answers.get(holder);
        return answer == null ? Instant.MIN : answer.sentAt();
    }

    BorrowerState withRequest(VmName holder, int wanted, Instant now) {
        LoanRequest request = new LoanRequest(holder, nextLoanIdentifier, wanted, now);
        List<LoanRequest> extended =
                Stream.concat(pendingRequests.stream(), Stream.of(request)).toList();
        return new BorrowerState(loans, extended, answers, nextLoanIdentifier + 1);
    }

    Optional<LoanRequest> findPendingRequest(long identifier) {
        return pendingRequests.stream()
                .filter(loan -> loan.identifier() == identifier)
                .findFirst();
    }

    /** Completes a request with the holder's answer. */
    BorrowerState withAnswer(LoanRequest request, int granted, int remaining) {
        Map<VmName, HolderAnswer> updated = new HashMap<>(answers);
        updated.put(request.holder(), new HolderAnswer(request.sentAt(), granted == 0, remaining));
        List<LoanRequest> others = pendingRequests.stream()
                .filter(loan -> loan.identifier() != request.identifier())
                .toList();
        return new BorrowerState(loans, others, updated, nextLoanIdentifier);
    }

    BorrowerState withLoan(BorrowedLoan loan) {
        List<BorrowedLoan> extended = Stream.concat(loans.stream(), Stream.of(loan))
                .sorted(Comparator.comparing(BorrowedLoan::expiresAt))
                .toList();
        return new BorrowerState(extended, pendingRequests, answers, nextLoanIdentifier);
    }

    BorrowerState withLoans(List<BorrowedLoan> remaining) {
        return new BorrowerState(remaining, pendingRequests, answers, nextLoanIdentifier);
    }

    /** Completes the requests sent before the cutoff as if the holder had no tokens. */
    BorrowerState withRequestsTimedOutBefore(Instant cutoff) {
        BorrowerState state = this;
        for (LoanRequest loan : pendingRequests) {
            if (loan.sentAt().isBefore(cutoff)) {
                state = state.withAnswer(loan, 0, 0);
            }
        }
        return state;
    }
}
