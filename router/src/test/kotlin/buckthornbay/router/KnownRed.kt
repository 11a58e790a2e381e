package buckthornbay.router

import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.InvocationInterceptor
import org.junit.jupiter.api.extension.ReflectiveInvocationContext
import org.opentest4j.TestAbortedException
import java.io.File
import java.lang.reflect.Method

/**
 * Runs each test. Those that KNOWN-RED.txt lists as `red-test-sometimes: CLASS.METHOD` fail on some machines only: there they are
 * printed and aborted instead of failed.
 */
internal class KnownRed : InvocationInterceptor {
    override fun interceptTestMethod(
        invocation: InvocationInterceptor.Invocation<Void>,
        invocationContext: ReflectiveInvocationContext<Method>,
        extensionContext: ExtensionContext,
    ) {
        val name = "${invocationContext.targetClass.simpleName}.${invocationContext.executable.name}"
        try {
            invocation.proceed()
        } catch (failure: AssertionError) {
            if (name !in listed) throw failure
            println("known red: $name: ${failure.message}")
            throw TestAbortedException("listed in KNOWN-RED.txt: ${failure.message}", failure)
        }
        if (name in listed) println("known red on some machines, passes here: $name")
    }

    private companion object {
        const val PREFIX = "red-test-sometimes: "
        val listed = File("../KNOWN-RED.txt").readLines()
            .filter { it.startsWith(PREFIX) }
            .map { it.removePrefix(PREFIX).trim() }
            .toSet()
    }
}
